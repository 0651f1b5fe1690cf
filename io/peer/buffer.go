package peer

import (
	"bufio"
	"net"
	"net/http"
	"sync"
)

// maxBatch is how many bytes may be collected before they are written.
const maxBatch = 64 << 10

// batches holds buffers for connections that collect writes.
var batches = sync.Pool{New: func() any {
	buffer := make([]byte, 0, maxBatch)
	return &buffer
}}

// batchConn is a net.Conn that collects writes between hold and release, so
// that frames which wait together leave in one system call.
type batchConn struct {
	net.Conn
	tally *tally

	mu     sync.Mutex
	buffer *[]byte // nil while writes go straight through
}

// Read reads from the connection and counts.
func (b *batchConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	b.tally.bytesIn.total.Add(int64(n))
	return n, err
}

// Write collects p while held, or writes it.
func (b *batchConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tally.bytesOut.total.Add(int64(len(p)))
	if b.buffer == nil {
		return b.Conn.Write(p)
	}
	if len(*b.buffer)+len(p) > maxBatch {
		if err := b.flush(); err != nil {
			return 0, err
		}
	}
	if len(p) > maxBatch {
		return b.Conn.Write(p)
	}
	*b.buffer = append(*b.buffer, p...)
	return len(p), nil
}

// hold starts to collect writes.
func (b *batchConn) hold() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buffer == nil {
		b.buffer = batches.Get().(*[]byte)
	}
}

// release writes what was collected.
func (b *batchConn) release() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buffer == nil {
		return nil
	}
	err := b.flush()
	batches.Put(b.buffer)
	b.buffer = nil
	return err
}

// flush writes the collected bytes. The caller holds mu.
func (b *batchConn) flush() error {
	if len(*b.buffer) == 0 {
		return nil
	}
	_, err := b.Conn.Write(*b.buffer)
	*b.buffer = (*b.buffer)[:0]
	return err
}

// batchWriter is a http.ResponseWriter whose hijacked connection is a batchConn.
type batchWriter struct {
	http.ResponseWriter
	conn *batchConn
}

// Hijack takes over the connection.
func (w *batchWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, rw, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	w.conn.Conn = conn
	return w.conn, bufio.NewReadWriter(rw.Reader, bufio.NewWriter(w.conn)), nil
}
