package load

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"pineturn/core/report"
	"pineturn/core/workload"
)

// Entry sends requests to entry hosts, one chosen at random each time as the
// platform's balancer does. It is safe for concurrent use.
type Entry struct {
	hosts   []string
	timeout time.Duration
	client  *http.Client
}

// NewEntry returns a sender to the given hosts, host:port each.
func NewEntry(hosts []string, callers int, timeout time.Duration) *Entry {
	return &Entry{hosts: hosts, timeout: timeout, client: newClient(callers)}
}

// Send makes one attempt. When a host refuses the connection, another one is
// tried at once, as no request was sent.
func (e *Entry) Send(ctx context.Context, request *workload.Request, attempt *report.Attempt) {
	first := rand.IntN(len(e.hosts))
	e.sendTo(ctx, e.hosts[first], request, attempt)
	if attempt.Reason == reasonRefused && len(e.hosts) > 1 {
		other := (first + 1 + rand.IntN(len(e.hosts)-1)) % len(e.hosts)
		e.sendTo(ctx, e.hosts[other], request, attempt)
	}
}

// Close closes the idle connections.
func (e *Entry) Close() { e.client.CloseIdleConnections() }

func (e *Entry) sendTo(ctx context.Context, host string, request *workload.Request, attempt *report.Attempt) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	attempt.Host = host
	url := "http://" + host + request.Operation().Path()
	out, err := http.NewRequestWithContext(ctx, request.Method(), url, http.NoBody)
	if err != nil {
		fail(attempt, err)
		return
	}
	out.Header.Set(headerService, request.Service())
	out.Header.Set(headerKey, request.Key())
	out.Header.Set(headerRequestID, request.ID())
	out.Header.Set(headerTimeout, e.timeout.String())
	exchange(e.client, out, attempt)
}

// newClient returns a client whose connections are kept for all callers.
func newClient(callers int) *http.Client {
	dialer := net.Dialer{Timeout: DefaultTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: callers,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}
