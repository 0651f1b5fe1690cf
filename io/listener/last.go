package listener

import (
	"io"
	"net/http"
	"time"
)

// lingerTime is how long a connection is kept for its last response to arrive, if the caller does not
// close it.
const lingerTime = 500 * time.Millisecond

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// CloseWhen returns a handler that ends the connections of its responses while closing returns true. The
// end is decided when the head of a response is written. From then on nothing is read beyond the current
// request, so that the caller can send it again elsewhere; the whole requests that were read until then
// are answered first, and the last of them carries "Connection: close". Nor is anything read after a response
// that next ends the connection with. It must be called before the server serves; a connection under TLS
// ends with the response to the current request.
func (l *Listener) CloseWhen(closing func() bool, next http.Handler) http.Handler {
	l.split = true
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := callerConn(r.Context())
		last := &lastWriter{ResponseWriter: w, closing: closing, conn: conn}
		next.ServeHTTP(last, r)
		last.begin()
	})
}

// lastWriter writes a response, and decides whether it is the last one of its connection.
type lastWriter struct {
	http.ResponseWriter
	closing func() bool
	// conn is nil for connections of other listeners.
	conn  *Conn
	begun bool
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (w *lastWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader begins the response, unless the status is informational.
func (w *lastWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *lastWriter) Write(data []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(data)
}

// ReadFrom writes a part of the body, by the server's own means.
func (w *lastWriter) ReadFrom(from io.Reader) (int64, error) {
	w.begin()
	return io.Copy(w.ResponseWriter, from)
}

// begin decides, before the head of the response is written, whether the connection ends after it.
func (w *lastWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if w.conn != nil {
		w.conn.markResponding()
	}
	header := w.Header()
	handlerCloses := header.Get("Connection") == "close"
	if !handlerCloses && !w.closing() {
		return
	}
	follows := w.conn != nil && w.conn.freeze()
	if handlerCloses || !follows {
		header.Set("Connection", "close")
	}
}

// markResponding records that a response is being written. No request behind it is begun early before it
// is complete: it may be broken off, which ends the connection.
func (c *Conn) markResponding() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding = true
}

// freeze stops reading beyond the current request, for good, and reports whether a whole request after it
// has been read.
func (c *Conn) freeze() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = true
	if c.ahead == nil {
		return false
	}
	if c.readingAhead && c.Conn.SetReadDeadline(expired) == nil {
		for c.readingAhead {
			c.readEnded.Wait()
		}
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	return c.ahead.follow()
}

// beginLinger ends the connection on this side only and returns true, if its end was decided with a
// response that may not have arrived.
func (c *Conn) beginLinger() bool {
	c.mu.Lock()
	linger := c.frozen && c.lingerEnd.IsZero()
	if linger {
		c.lingerEnd = time.Now().Add(lingerTime)
	}
	c.mu.Unlock()
	conn, ok := c.Conn.(interface{ CloseWrite() error })
	return linger && ok && conn.CloseWrite() == nil
}

// linger closes the connection once the caller has closed it, or lingerTime has passed. What the caller
// has sent meanwhile is not read.
func (c *Conn) linger() {
	if c.remoteClosed() || !time.Now().Before(c.lingerEnd) {
		_ = c.closeNow()
		return
	}
	time.AfterFunc(idlePollInterval, c.linger)
}
