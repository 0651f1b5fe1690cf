package keyholder

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

type connKey struct{}

// ConnContext is the hook of that name of a target's server. It remembers which connections have
// carried a refusal.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &atomic.Bool{})
}

func markRefused(ctx context.Context) {
	if refused, ok := ctx.Value(connKey{}).(*atomic.Bool); ok {
		refused.Store(true)
	}
}

func wasRefused(ctx context.Context) bool {
	refused, ok := ctx.Value(connKey{}).(*atomic.Bool)
	return ok && refused.Load()
}

// copyRefusal writes a refusal in place of the response to a request that runs, and ends the connection
// when the request has run.
func copyRefusal(w http.ResponseWriter, serviceTime time.Duration) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(serviceTime)
}
