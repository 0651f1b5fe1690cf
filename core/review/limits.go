package review

import (
	"slices"
	"time"

	"pineturn/core/routing"
)

const (
	// maxHeaderBytes is the size of a request's header, in bytes, from which on hosts refuse it
	// whatever is configured.
	maxHeaderBytes = 64 << 10
	// maxBodyShare is the part of a host's memory that one request's body should not exceed.
	maxBodyShare = 0.5
	// minConnectionsPerHost is the number of connections to a target that each host needs to
	// use it.
	minConnectionsPerHost = 1
)

// Bounds are settings of a host that a configuration must fit. What is zero is not known.
type Bounds struct {
	// StopTimeout is the time in which a host must stop.
	StopTimeout time.Duration
	// Memory is the memory of a host in bytes.
	Memory int64
	// ColdOverage and ColdSlack say how many requests a cold target may get in a second: what
	// it bears a second times ColdOverage, and ColdSlack more.
	ColdOverage, ColdSlack float64
}

// checkServices checks the services and their limits.
func (r *review) checkServices() {
	for i, name := range r.services {
		s := r.config.Services[name]
		switch {
		case name == "":
			r.add(Error, service(i, Name), "has no name")
		case slices.Index(r.services, name) < i:
			r.add(Error, service(i, Name), "service %q is configured twice", name)
		}
		r.checkCold(i, s)
		if hosts := r.deployment.Hosts; hosts > 0 && s.MaxConnections > 0 && s.MaxConnections < minConnectionsPerHost*hosts {
			r.add(Warning, service(i, Connections), "%d connections are fewer than the %d hosts, so not each can hold one to each target", s.MaxConnections, hosts)
		}
	}
}

// checkCold checks what targets of a service bear while they are cold.
func (r *review) checkCold(i int, s routing.Service) {
	b := r.deployment.Bounds
	if s.ColdRate > 0 && b.ColdOverage > 0 && s.ColdRate*b.ColdOverage+b.ColdSlack < 1 {
		r.add(Error, service(i, ColdRate), "allows less than one request a second, so a cold target gets none")
	}
}

// checkUnused finds services to which no route leads.
func (r *review) checkUnused() {
	used := make(map[string]bool)
	for _, x := range r.config.Routes {
		for _, part := range x.Parts {
			used[part.Service] = used[part.Service] || part.Weight > 0
		}
	}
	for i, name := range r.services {
		if name != "" && !used[name] {
			r.add(Warning, service(i, None), "no route leads to service %q", name)
		}
	}
}

// checkLimits checks the limits of callers' requests.
func (r *review) checkLimits() {
	l := r.config.Limits
	if l.MaxHeaderBytes > maxHeaderBytes {
		r.add(Warning, limit(HeaderBytes), "hosts refuse headers from %d bytes on, whatever is allowed", maxHeaderBytes)
	}
	if memory := r.deployment.Bounds.Memory; memory > 0 && float64(l.MaxBodyBytes) > maxBodyShare*float64(memory) {
		r.add(Warning, limit(BodyBytes), "%d bytes are more than half of a host's memory of %d", l.MaxBodyBytes, memory)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		r.add(Warning, limit(HeaderTimeout), "%v is above the idle timeout %v, which ends such connections first", l.HeaderTimeout, l.IdleTimeout)
	}
	for _, x := range []struct {
		field    Field
		negative bool
	}{
		{HeaderBytes, l.MaxHeaderBytes < 0}, {BodyBytes, l.MaxBodyBytes < 0},
	} {
		if x.negative {
			r.add(Error, limit(x.field), "is below 0")
		}
	}
}
