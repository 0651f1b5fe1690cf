package target

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Response is the application's response. Its body is this object on one line.
// If the body is shorter than Size bytes, lines with the request's id fill it
// up to that size.
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

// Body returns the complete body. Callers compare it with the body that they
// received.
func (r Response) Body() []byte {
	body, _ := json.Marshal(r)
	body = append(body, '\n')
	filler := r.RequestID + "\n"
	for len(body) < r.Size {
		body = append(body, filler[:min(len(filler), r.Size-len(body))]...)
	}
	return body
}

// respond runs the request and writes its response, or closes the connection if
// the request is cut.
func (x *run) respond(w http.ResponseWriter, r *http.Request) {
	defer x.finish(cutCancelled)
	control := http.NewResponseController(w)
	if x.req.deadline > 0 {
		_ = control.SetWriteDeadline(x.target.start.Add(x.req.deadline))
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	}
	if reason := x.runFor(r.Context(), x.serviceTime); reason != "" {
		x.abort(reason)
	}
	body := x.response().Body()
	header := w.Header()
	header.Set(headerRequestID, x.req.id)
	header.Set("Content-Type", "application/json")
	if x.req.work.length || x.req.work.size == 0 {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.write(w, r, body)
}

// write sends the body in chunks. It sends the last chunk only after the request
// has ended within its deadline and grant.
func (x *run) write(w http.ResponseWriter, r *http.Request, body []byte) {
	control := http.NewResponseController(w)
	started := false
	for len(body) > chunkBytes {
		if !started {
			w.WriteHeader(x.req.work.status)
			started = true
		}
		if _, err := w.Write(body[:chunkBytes]); err != nil {
			x.abort(cutCancelled)
		}
		_ = control.Flush()
		body = body[chunkBytes:]
		if reason := x.runFor(r.Context(), x.req.work.chunkInterval); reason != "" {
			x.abort(reason)
		}
	}
	if reason := x.finish(""); reason != "" {
		panic(http.ErrAbortHandler)
	}
	if !started {
		w.WriteHeader(x.req.work.status)
	}
	_, _ = w.Write(body)
}

// abort ends the request and closes the connection without a complete
// response.
func (x *run) abort(reason string) {
	x.finish(reason)
	panic(http.ErrAbortHandler)
}

func (x *run) response() Response {
	return Response{
		Service:     x.target.service,
		Key:         x.req.key,
		RequestID:   x.req.id,
		Target:      x.target.name,
		Incarnation: x.target.incarnation,
		Run:         x.keyRun,
		Epoch:       x.req.epoch,
		Method:      x.method,
		Path:        x.path,
		BodyBytes:   x.bodySize,
		BodyHash:    fmt.Sprintf("%016x", x.bodyHash),
		Size:        x.req.work.size,
	}
}
