package log

import (
	"io"
	"net/http"
)

// appended answers an append.
type appended struct {
	Offset uint64 `json:"offset"`
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "read record: "+err.Error())
		return
	}
	lose, ok := s.suffer(w, r, opAppend)
	if !ok {
		return
	}
	if s.limiter != nil && s.limiter.Wait(r.Context()) != nil {
		return
	}
	offset := s.append(r.PathValue("stream"), data)
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, appended{Offset: offset})
}

func (s *Service) append(name string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.stream(name).append(data, s.clock.Now())
	s.wake()
	return offset
}
