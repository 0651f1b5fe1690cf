package proxy

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"pineturn/core/routing"
)

// longAnswerTime is how long after a long answer a route counts as one that gives such.
const longAnswerTime = 10 * time.Minute

// longAnswers remembers which routes give answers that are streamed to the caller, by their names. Such an answer may be
// broken off once its head has been written. The zero value is ready for use.
type longAnswers struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// record records a long answer of a route.
func (l *longAnswers) record(route string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, at := range l.last {
		if now.Sub(at) >= longAnswerTime {
			delete(l.last, name)
		}
	}
	if l.last == nil {
		l.last = make(map[string]time.Time)
	}
	l.last[route] = now
}

// expected reports whether a route has given a long answer lately.
func (l *longAnswers) expected(route string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.last[route]
	return ok && now.Sub(at) < longAnswerTime
}

// MayBreakOff reports whether the answer to a caller's request may be broken off after its head.
func (p *Proxy) MayBreakOff(r *http.Request) bool {
	route, ok := p.route(r)
	return ok && p.longAnswers.expected(route.Name, p.clock.Now())
}

// route returns the route of a caller's request.
func (p *Proxy) route(r *http.Request) (*routing.Route, bool) {
	table := p.catalog.Table()
	if table == nil {
		return nil, false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return table.Route(r.Host, path)
}
