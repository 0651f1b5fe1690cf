package proxy

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/attempt"
)

// maxHeaderErrors bounds the targets of which an unreadable header is remembered.
const maxHeaderErrors = 256

// headerErrors holds the targets of which the last value of some header could not be
// understood, so that each is logged once.
type headerErrors struct {
	mu      sync.Mutex
	targets map[string]bool
}

// set records whether the header of a target could be understood, and reports whether that is
// a new error.
func (e *headerErrors) set(target string, failed bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !failed {
		delete(e.targets, target)
		return false
	}
	if e.targets[target] || len(e.targets) >= maxHeaderErrors {
		return false
	}
	if e.targets == nil {
		e.targets = make(map[string]bool)
	}
	e.targets[target] = true
	return true
}

// observe records what the response of a target says of the target itself. What can't be
// understood changes nothing.
func (p *Proxy) observe(s sendResult, sentAt time.Time) {
	info := s.response.info
	// A target that refuses the id that it was expected to have is another one; the
	// expected one has left then.
	if info.Leaving && p.targets.ObserveLeaving(s.target, p.clock.Now()) {
		klog.InfoS("Target has said that it leaves", "target", s.target)
	}
	if s.result == attempt.WrongTarget {
		return
	}
	p.observeLimit(s, sentAt)
	p.observeRest(s)
}

// observeRelayed records what a response that another host has relayed says of its target. A
// limit or a rest is that host's matter.
func (p *Proxy) observeRelayed(s sendResult) {
	if report := loadReport(s.response.info.Load); report != nil {
		p.targets.ObserveReport(s.target, *report, p.clock.Now())
	}
	if s.response.info.Leaving && p.targets.ObserveLeaving(s.target, p.clock.Now()) {
		klog.InfoS("Target has said through another host that it leaves", "target", s.target)
	}
}

func (p *Proxy) observeLimit(s sendResult, sentAt time.Time) {
	info := s.response.info
	if p.limitErrors.set(s.target, info.LimitErr != nil) {
		klog.InfoS("Target has named an invalid limit, the one before holds", "target", s.target, "err", info.LimitErr)
	}
	if info.LimitErr == nil && p.targets.ObserveLimit(s.target, info.Limit, sentAt, p.clock.Now()) {
		klog.InfoS("Target has changed its limit of requests", "target", s.target, "limited", info.Limit.Named, "perSecond", info.Limit.PerSecond)
	}
}

func (p *Proxy) observeRest(s sendResult) {
	info := s.response.info
	if p.restErrors.set(s.target, info.RestErr != nil) {
		klog.InfoS("Target has asked for an invalid rest", "target", s.target, "err", info.RestErr)
	}
	if info.Rest > 0 {
		now := p.clock.Now()
		p.targets.ObserveRest(s.target, now.Add(info.Rest), now)
	}
}
