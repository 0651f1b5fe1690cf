package gateway

import (
	"fmt"
	"testing"
	"time"

	"pineturn/io/standin/platformstore"
)

// The tests of this file don't run beside others of the package: they check that most requests
// are served.
const (
	// leavingKnown is the time from the first response by which a target says that it
	// leaves until no host sends it requests. It is below the drain bound of the settings.
	leavingKnown = 1500 * time.Millisecond
	// leavingDuration is how long targets say so in these tests.
	leavingDuration = 5 * time.Second
	// restDuration is the rest for which targets ask, restGrace the time after that
	// response within which requests that were under way may arrive, and
	// requestsPerRest the number of requests from one host after that.
	restDuration    = 2 * time.Second
	restGrace       = 500 * time.Millisecond
	requestsPerRest = 2
)

// light is a load that a busy machine bears.
var light = load{burst: 1, interval: 100 * time.Millisecond}

// wantNoArrivals checks that no requests reached a target from a time until another.
func wantNoArrivals(t *testing.T, x *target, from, until time.Time) {
	t.Helper()
	got := 0
	for _, a := range x.Arrivals() {
		if a.At.After(from) && a.At.Before(until) {
			got++
		}
	}
	if got > 0 {
		t.Errorf("%s: got %d requests, want none", x.id, got)
	}
}

// wantRests checks the requests from each host that reached a target within the rests that it
// had asked that host for, from a time until another.
func wantRests(t *testing.T, x *target, tries []firstTry, from, until time.Time) {
	t.Helper()
	hosts := make(map[string]*host)
	for _, try := range tries {
		hosts[try.id] = try.host
	}
	arrivals := make(map[*host][]time.Time)
	for _, a := range x.Arrivals() {
		if a.At.After(from) && a.At.Before(until) {
			arrivals[hosts[a.ID]] = append(arrivals[hosts[a.ID]], a.At)
		}
	}
	for h, times := range arrivals {
		for _, asked := range times {
			got := 0
			for _, at := range times {
				if at.After(asked.Add(restGrace)) && at.Before(asked.Add(restDuration)) {
					got++
				}
			}
			if got > requestsPerRest {
				t.Errorf("%s: got %d requests from %s within a rest, want at most %d", x.id, got, h.gateway.settings.Name, requestsPerRest)
				return
			}
		}
	}
}

// testLeaving lets the first target of each service say that it leaves, which its entry does
// not, and checks that no host sends it requests any more.
func (c *pathCluster) testLeaving(t *testing.T) (tries []firstTry, known, ended time.Time) {
	finish := c.startLoad(c.hosts, light)
	time.Sleep(settleTime)
	leaving := time.Now()
	for _, kind := range requestKinds {
		c.targets[kind.service+"-a"].SetLeaving(true)
	}
	time.Sleep(leavingDuration)
	ended = time.Now()
	tries, known = finish(), leaving.Add(leavingKnown)
	for _, kind := range requestKinds {
		t.Run("requests to "+kind.service, func(t *testing.T) { wantNoArrivals(t, c.targets[kind.service+"-a"], known, ended) })
	}
	return tries, known, ended
}

// TestLeavingTargets guards against requests to targets that have said in their responses
// that they leave, while the store does not say so, and against keys that they keep.
func TestLeavingTargets(t *testing.T) {
	c := newPathCluster(t)
	c.awaitServed(t)
	tries, known, ended := c.testLeaving(t)
	for _, kind := range requestKinds {
		t.Run("served by others: "+kind.service, func(t *testing.T) { wantShare(t, tries, kind.service, known, ended) })
	}
	wantPayoutsAtMostOnce(t, c.audit.Runs())
	wantOneOwner(t, c.audit)
}

// TestLeavingTargetsWithoutStore guards against the same while the store is down, and against
// requests for keys that can't be moved then which wait in vain.
func TestLeavingTargetsWithoutStore(t *testing.T) {
	c := newPathCluster(t)
	c.awaitServed(t)
	c.store.SetFault(platformstore.Fault{Mode: "busy"})
	tries, known, ended := c.testLeaving(t)
	for _, service := range []string{plainService, orderService} {
		t.Run("served by others: "+service, func(t *testing.T) { wantShare(t, tries, service, known, ended) })
	}
	wantPayoutsAtMostOnce(t, c.audit.Runs())
	wantOneOwner(t, c.audit)
}

// TestRestingTargets guards against requests to targets within the time for which they have
// asked for none, and against requests for their keys that wait in vain.
func TestRestingTargets(t *testing.T) {
	c := newPathCluster(t)
	c.awaitServed(t)
	finish := c.startLoad(c.hosts, light)
	time.Sleep(settleTime)
	asked := time.Now()
	for _, kind := range requestKinds {
		c.targets[kind.service+"-a"].AskRest(fmt.Sprint(restDuration.Seconds()))
	}
	const rests = 3
	time.Sleep(rests * restDuration)
	ended := time.Now()
	for _, kind := range requestKinds {
		c.targets[kind.service+"-a"].AskRest("")
	}
	time.Sleep(restDuration + 2*time.Second)
	tries := finish()
	for _, kind := range requestKinds {
		t.Run("requests to "+kind.service, func(t *testing.T) {
			wantRests(t, c.targets[kind.service+"-a"], tries, asked, ended)
		})
		t.Run("afterwards "+kind.service, func(t *testing.T) {
			wantShare(t, tries, kind.service, ended.Add(restDuration+time.Second), time.Now())
		})
	}
	for _, service := range []string{plainService, orderService} {
		t.Run("others serve "+service, func(t *testing.T) { wantShare(t, tries, service, asked, ended) })
	}
	t.Run("refusals", func(t *testing.T) { wantPromptRefusals(t, tries) })
	wantPayoutsAtMostOnce(t, c.audit.Runs())
	wantOneOwner(t, c.audit)
}
