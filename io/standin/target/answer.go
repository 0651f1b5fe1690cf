package target

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Response is the application's answer. An answer of some size is this object
// on a line, followed by lines of the request's id up to that size in bytes.
type Response struct {
	Service     string `json:"service"`
	Key         string `json:"key"`
	RequestID   string `json:"request_id"`
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	Run         uint64 `json:"run"`
	Epoch       uint64 `json:"epoch"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	BodyBytes   int    `json:"body_bytes"`
	BodyHash    string `json:"body_hash"`
	Size        int    `json:"size,omitempty"`
}

// Body returns the whole body of an answer. Callers check theirs against it.
func (a Response) Body() []byte {
	body, _ := json.Marshal(a)
	body = append(body, '\n')
	filler := a.RequestID + "\n"
	for len(body) < a.Size {
		body = append(body, filler[:min(len(filler), a.Size-len(body))]...)
	}
	return body
}

// answer runs the request and writes its answer, or cuts the connection.
func (x *run) answer(w http.ResponseWriter, r *http.Request) {
	defer x.finish(cutCancelled)
	control := http.NewResponseController(w)
	if x.asked.deadline > 0 {
		_ = control.SetWriteDeadline(x.target.start.Add(x.asked.deadline))
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	}
	if reason := x.pause(r.Context(), x.service); reason != "" {
		x.abort(reason)
	}
	body := x.content().Body()
	header := w.Header()
	header.Set(headerRequestID, x.asked.id)
	header.Set("Content-Type", "application/json")
	if x.asked.work.length || x.asked.work.size == 0 {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.write(w, r, body)
}

// write sends the body in chunks, the last one only after the request ended
// within its deadline and grant.
func (x *run) write(w http.ResponseWriter, r *http.Request, body []byte) {
	control := http.NewResponseController(w)
	started := false
	for len(body) > chunkBytes {
		if !started {
			w.WriteHeader(x.asked.work.status)
			started = true
		}
		if _, err := w.Write(body[:chunkBytes]); err != nil {
			x.abort(cutCancelled)
		}
		_ = control.Flush()
		body = body[chunkBytes:]
		if reason := x.pause(r.Context(), x.asked.work.chunkPause); reason != "" {
			x.abort(reason)
		}
	}
	if reason := x.finish(""); reason != "" {
		panic(http.ErrAbortHandler)
	}
	if !started {
		w.WriteHeader(x.asked.work.status)
	}
	_, _ = w.Write(body)
}

// abort ends the request and closes the connection without a whole answer.
func (x *run) abort(reason string) {
	x.finish(reason)
	panic(http.ErrAbortHandler)
}

func (x *run) content() Response {
	return Response{
		Service:     x.target.service,
		Key:         x.asked.key,
		RequestID:   x.asked.id,
		Target:      x.target.name,
		Incarnation: x.target.incarnation,
		Run:         x.keyRun,
		Epoch:       x.asked.epoch,
		Method:      x.method,
		Path:        x.path,
		BodyBytes:   x.bodySize,
		BodyHash:    fmt.Sprintf("%016x", x.bodyHash),
		Size:        x.asked.work.size,
	}
}
