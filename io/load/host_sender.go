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

// HostSender sends requests to hosts. It selects a random host for each attempt,
// as the load balancer of the platform does. It is safe for concurrent use.
type HostSender struct {
	hosts   []string
	timeout time.Duration
	client  *http.Client
}

// NewHostSender returns a sender to hosts, host:port each. It keeps up to callers
// idle connections per host and limits each attempt to timeout.
func NewHostSender(hosts []string, callers int, timeout time.Duration) *HostSender {
	return &HostSender{hosts: hosts, timeout: timeout, client: newClient(callers)}
}

// Send sends one attempt. If a host refuses the connection, Send immediately tries
// another host, since no request was sent.
func (s *HostSender) Send(ctx context.Context, request *workload.Request, attempt *report.Attempt) {
	first := rand.IntN(len(s.hosts))
	s.sendTo(ctx, s.hosts[first], request, attempt)
	if attempt.Reason == reasonRefused && len(s.hosts) > 1 {
		other := (first + 1 + rand.IntN(len(s.hosts)-1)) % len(s.hosts)
		s.sendTo(ctx, s.hosts[other], request, attempt)
	}
}

// Close closes idle connections.
func (s *HostSender) Close() { s.client.CloseIdleConnections() }

func (s *HostSender) sendTo(ctx context.Context, host string, request *workload.Request, attempt *report.Attempt) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	attempt.Host = host
	url := "http://" + host + request.Operation().Path()
	out, err := http.NewRequestWithContext(ctx, request.Method(), url, http.NoBody)
	if err != nil {
		recordError(attempt, err)
		return
	}
	out.Header.Set(headerService, request.Service())
	out.Header.Set(headerKey, request.Key())
	out.Header.Set(headerRequestID, request.ID())
	out.Header.Set(headerTimeout, s.timeout.String())
	exchange(s.client, out, attempt)
}

// newClient returns an HTTP client that keeps up to callers idle connections per
// host.
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
