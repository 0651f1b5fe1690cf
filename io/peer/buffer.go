package peer

import (
	"bufio"
	"net"
	"net/http"
	"sync"
)

// maxBatchBytes is the maximum number of bytes that a batchConn buffers before it
// writes them. A longer batch is sent in several writes.
const maxBatchBytes = 64 << 10

// batchBuffers is a pool of buffers for batches of writes.
var batchBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, maxBatchBytes)
	return &buffer
}}

// batchConn is a net.Conn that buffers writes between startBatch and
// flushBatch, so that queued frames are sent in one system call.
type batchConn struct {
	net.Conn
	traffic *trafficCounters

	mu     sync.Mutex
	buffer *[]byte // nil if writes are not buffered
}

// Read reads from the connection and counts the bytes.
func (b *batchConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	b.traffic.bytesIn.total.Add(int64(n))
	return n, err
}

// Write adds p to the batch, or writes it directly if no batch was started.
func (b *batchConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.traffic.bytesOut.total.Add(int64(len(p)))
	if b.buffer == nil {
		return b.Conn.Write(p)
	}
	if len(*b.buffer)+len(p) > maxBatchBytes {
		if err := b.writeBuffer(); err != nil {
			return 0, err
		}
	}
	if len(p) > maxBatchBytes {
		return b.Conn.Write(p)
	}
	*b.buffer = append(*b.buffer, p...)
	return len(p), nil
}

// startBatch starts buffering writes.
func (b *batchConn) startBatch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buffer == nil {
		b.buffer = batchBuffers.Get().(*[]byte)
	}
}

// flushBatch writes the buffered data and stops buffering.
func (b *batchConn) flushBatch() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buffer == nil {
		return nil
	}
	err := b.writeBuffer()
	batchBuffers.Put(b.buffer)
	b.buffer = nil
	return err
}

// writeBuffer writes the buffered data. The caller must hold mu.
func (b *batchConn) writeBuffer() error {
	if len(*b.buffer) == 0 {
		return nil
	}
	_, err := b.Conn.Write(*b.buffer)
	*b.buffer = (*b.buffer)[:0]
	return err
}

// batchResponseWriter is an http.ResponseWriter that wraps a hijacked
// connection in a batchConn.
type batchResponseWriter struct {
	http.ResponseWriter
	conn *batchConn
}

// Hijack takes over the connection and makes it the underlying connection of
// the batchConn.
func (w *batchResponseWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, rw, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	w.conn.Conn = conn
	return w.conn, bufio.NewReadWriter(rw.Reader, bufio.NewWriter(w.conn)), nil
}
