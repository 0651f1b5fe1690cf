package log

import (
	"io"
	"net/http"
)

// appendResponse is the response body of an append.
type appendResponse struct {
	Offset uint64 `json:"offset"`
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "read record: "+err.Error())
		return
	}
	loseResponse, ok := s.applyFault(w, r, operationAppend)
	if !ok {
		return
	}
	if s.limiter != nil && s.limiter.Wait(r.Context()) != nil {
		return
	}
	offset := s.append(r.PathValue("stream"), data)
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, appendResponse{Offset: offset})
}

func (s *Service) append(name string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.stream(name).append(data, s.clock.Now())
	s.notifyWaiters()
	return offset
}
