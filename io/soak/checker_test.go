package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"pineturn/io/standin/keyholder"
)

var start = time.Unix(1_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// addRunsOnThree adds requests that each run on three targets.
func addRunsOnThree(c *Checker) {
	for i := range attemptSlack + 1 {
		for _, target := range []string{"t1", "t2", "t3"} {
			addRun(c, fmt.Sprint("r", i), target, -1, 1)
		}
	}
}

func addRun(c *Checker, id, target string, key int, seconds float64) {
	c.AddEvent(keyholder.Event{Kind: keyholder.Began, Run: &keyholder.Run{ID: id, Target: target, Key: key, At: at(seconds)}})
}

func addGrant(c *Checker, target string, first, last int, fencingToken int64, from, until float64) {
	c.AddEvent(keyholder.Event{
		Kind: keyholder.Granted, At: at(from), Target: target, First: first, Last: last, FencingToken: fencingToken, Until: at(until),
	})
}

func addArrival(c *Checker, id, target string, limit, seconds float64) {
	c.AddEvent(keyholder.Event{Kind: keyholder.Arrived, ID: id, Target: target, Limit: limit, At: at(seconds)})
}

// addAsked adds n requests that reach a target which says something of itself.
func addAsked(c *Checker, n int, seconds float64, e keyholder.Event) {
	e.Kind, e.ID, e.Target = keyholder.Arrived, "r1", "t1"
	for i := range n {
		e.At = at(seconds + float64(i)/1000)
		c.AddEvent(e)
	}
}

// addRetries adds requests of which each arrives twice, the second time late.
func addRetries(c *Checker, n int, seconds, late float64) {
	for i := range n {
		id := fmt.Sprint("retried-", seconds, "-", i)
		c.AddResponse(Response{ID: id, Route: "payout", Sent: at(seconds), Status: http.StatusServiceUnavailable})
		addArrival(c, id, "t1", 0, seconds)
		addArrival(c, id, "t2", 0, seconds+late)
	}
}

func completeResponse() Response {
	const id = "r1"
	return Response{
		ID: id, Sent: at(0), Ended: at(1), Status: http.StatusOK, EchoedID: id,
		Signature: keyholder.Signature(id), Body: keyholder.Body("t1", id),
	}
}

// TestChecker has a history that keeps and one that violates each guarantee.
func TestChecker(t *testing.T) {
	for _, test := range []struct {
		name    string
		history func(c *Checker)
		want    string
	}{
		{"complete response", func(c *Checker) { c.AddResponse(completeResponse()) }, ""},
		{"response to another request", func(c *Checker) {
			response := completeResponse()
			response.EchoedID = "r2"
			c.AddResponse(response)
		}, "response to r2"},
		{"truncated body", func(c *Checker) {
			response := completeResponse()
			response.Body = "t1 ran"
			c.AddResponse(response)
		}, "received the body"},
		{"ran twice", func(c *Checker) {
			response := completeResponse()
			response.Once = true
			c.AddResponse(response)
			addRun(c, "r1", "t1", -1, 0)
			addRun(c, "r1", "t2", -1, 0.5)
		}, "ran 2 times"},
		{"refused and run", func(c *Checker) {
			c.AddResponse(Response{ID: "r1", Once: true, Status: http.StatusServiceUnavailable})
			addRun(c, "r1", "t1", -1, 0)
		}, "was refused with status 503 but ran"},
		{"retries within the budget", func(c *Checker) { addRetries(c, 60, 0, 1) }, ""},
		{"retries over the budget", func(c *Checker) { addRetries(c, 64, 0, 1) }, "64 retries in 10s for 64 requests, at most 63 allowed"},
		{"retries over the budget in two bursts 9.5 s apart", func(c *Checker) {
			addRetries(c, 45, 0, 0)
			addRetries(c, 45, 9.5, 0)
		}, "90 retries in 10s"},
		{"target within its limit", func(c *Checker) {
			for i := range 50 {
				addArrival(c, "r1", "t1", 3, float64(i)*0.2)
			}
		}, ""},
		{"target over its limit", func(c *Checker) {
			for i := range 100 {
				addArrival(c, "r1", "t1", 3, float64(i)*0.1)
			}
		}, "40 requests in 4s, at most 23 allowed"},
		{"target over its limit before hosts know it", func(c *Checker) {
			for i := range 100 {
				addArrival(c, "r1", "t1", 3, float64(i)*0.025)
			}
		}, ""},
		{"target that leaves, few requests", func(c *Checker) {
			addAsked(c, 1, 0, keyholder.Event{Leaving: true})
			addAsked(c, 8, 4, keyholder.Event{Leaving: true})
		}, ""},
		{"target that leaves, many requests", func(c *Checker) {
			addAsked(c, 1, 0, keyholder.Event{Leaving: true})
			addAsked(c, 9, 4, keyholder.Event{Leaving: true})
		}, "9 requests later than 3s after it said that it leaves, at most 8 allowed"},
		{"target that rests, few requests", func(c *Checker) {
			addAsked(c, 30, 0, keyholder.Event{Resting: true})
			addAsked(c, 16, 1, keyholder.Event{Resting: true})
		}, ""},
		{"target that rests, many requests", func(c *Checker) {
			addAsked(c, 1, 0, keyholder.Event{Resting: true})
			addAsked(c, 17, 1, keyholder.Event{Resting: true})
		}, "17 requests in that time, at most 16 allowed"},
		{"drained domain, in time", func(c *Checker) {
			c.DomainDrained(domainOf("t1"), at(0))
			addRun(c, "r1", "t1", -1, 4.9)
			addRun(c, "r2", "t2", -1, 8)
			c.DomainTakenBack(domainOf("t1"), at(9))
			addRun(c, "r3", "t1", -1, 9.1)
		}, ""},
		{"drained domain, late", func(c *Checker) {
			c.DomainDrained(domainOf("t1"), at(0))
			addRun(c, "r1", "t1", -1, 5.1)
		}, "5.1s after the start of the drain of domain b"},
		{"two owners", func(c *Checker) {
			addGrant(c, "t1", 0, 99, 1, 0, 4)
			addGrant(c, "t2", 50, 60, 2, 3, 7)
		}, "both held keys 50 to 60"},
		{"two owners for less than the tolerance, both run requests", func(c *Checker) {
			addGrant(c, "t1", 0, 99, 1, 0, 4)
			addGrant(c, "t2", 50, 60, 2, 3.9, 7)
			addRun(c, "r1", "t1", 55, 3.95)
			addRun(c, "r2", "t2", 55, 3.96)
		}, "both held keys 50 to 60"},
		{"two owners that both renew", func(c *Checker) {
			for i := range 10 {
				addGrant(c, "t1", 0, 99, 1, float64(i), float64(i)+4)
				addGrant(c, "t2", 0, 99, 2, float64(i)+0.1, float64(i)+4)
				c.CheckLeases(at(float64(i) - 2))
			}
			c.TargetEnded("t1", at(9.2))
		}, "both held keys 0 to 99"},
		{"owner after a release", func(c *Checker) {
			addGrant(c, "t1", 0, 99, 1, 0, 4)
			c.AddEvent(keyholder.Event{Kind: keyholder.Released, Target: "t1", First: 50, Last: 60, At: at(1)})
			addGrant(c, "t2", 50, 60, 2, 1, 5)
		}, ""},
		{"owner of released and unreleased keys", func(c *Checker) {
			addGrant(c, "t1", 0, 99, 1, 0, 4)
			c.AddEvent(keyholder.Event{Kind: keyholder.Released, Target: "t1", First: 50, Last: 60, At: at(1)})
			addGrant(c, "t2", 50, 61, 2, 1, 5)
		}, "both held keys 61 to 61"},
		{"owner after the end of the former owner", func(c *Checker) {
			addGrant(c, "t1", 0, 99, 1, 0, 4)
			c.TargetEnded("t1", at(1))
			addGrant(c, "t2", 0, 99, 2, 1.5, 5)
		}, ""},
		{"grant delayed by a pause", func(c *Checker) {
			c.SetWindow(Window{Kind: HostPause, Host: 1, From: at(1), To: at(3)})
			addGrant(c, "t1", 0, 99, 1, 0, 4)
			addGrant(c, "t2", 0, 99, 2, 3.1, 5)
		}, ""},
		{"request to draining target", func(c *Checker) {
			c.DrainStarted("t1", at(0))
			addRun(c, "r1", "t1", -1, 2.5)
		}, "after the start of its drain"},
		{"request to draining target after a fault", func(c *Checker) {
			c.SetWindow(Window{Kind: LinkCut, Host: 0, From: at(-1), To: at(0.5)})
			c.DrainStarted("t1", at(0))
			addRun(c, "r1", "t1", -1, 2.5)
		}, ""},
		{"runs on too many targets", func(c *Checker) { addRunsOnThree(c) }, "ran on more than 2 targets"},
		{"runs on targets of which one was killed", func(c *Checker) {
			c.SetWindow(Window{Kind: TargetKill, Host: -1, Target: "t2", From: at(0.5), To: at(3)})
			addRunsOnThree(c)
		}, ""},
		{"version not applied", func(c *Checker) {
			c.ConfigPublished(3, at(0))
			c.AddResponse(Response{ID: "r1", Status: http.StatusNotFound, Version: 3, Sent: at(2.5), Ended: at(2.6)})
		}, "had not applied version 3"},
		{"version reverted", func(c *Checker) {
			response := completeResponse()
			response.Version = 3
			c.AddResponse(response)
			c.AddResponse(Response{ID: "r2", Status: http.StatusNotFound, Version: 3, Sent: at(1.1), Ended: at(1.2)})
		}, "reverted to a version before 3"},
		{"version applied while the body of a request came", func(c *Checker) {
			response := completeResponse()
			response.Version = 3
			c.AddResponse(response)
			c.AddResponse(Response{ID: "r2", Status: http.StatusNotFound, Version: 3, Sent: at(0.5), Ended: at(3)})
		}, ""},
		{"version not yet applied by a new process", func(c *Checker) {
			response := completeResponse()
			response.Version = 3
			c.AddResponse(response)
			c.AddResponse(Response{ID: "r2", Incarnation: 1, Status: http.StatusNotFound, Version: 3, Sent: at(1.1), Ended: at(1.2)})
		}, ""},
		{"aborted by a graceful stop", func(c *Checker) {
			c.SetWindow(Window{Kind: HostStop, Host: 2, From: at(0.5), To: at(3)})
			c.AddResponse(Response{ID: "r1", Host: 2, Sent: at(0), Ended: at(1)})
			addRun(c, "r1", "t1", -1, 0.1)
		}, "aborted by the graceful stop"},
		{"given up by a graceful stop", func(c *Checker) {
			c.SetWindow(Window{Kind: HostStop, Host: 2, From: at(0.5), To: at(3)})
			c.AddResponse(Response{ID: "r1", Host: 2, Sent: at(0), Ended: at(1), Status: http.StatusBadGateway})
			addRun(c, "r1", "t1", -1, 0.1)
			c.AddEvent(keyholder.Event{Kind: keyholder.Cancelled, ID: "r1", Target: "t1", At: at(0.9)})
		}, "given up by the graceful stop"},
		{"response lost by its target during a graceful stop", func(c *Checker) {
			c.SetWindow(Window{Kind: HostStop, Host: 2, From: at(0.5), To: at(3)})
			c.AddResponse(Response{ID: "r1", Host: 2, Sent: at(0), Ended: at(1), Status: http.StatusBadGateway})
			addRun(c, "r1", "t1", -1, 0.1)
		}, ""},
		{"read behind another one and never answered, in a graceful stop", func(c *Checker) {
			c.SetWindow(Window{Kind: HostStop, Host: 2, From: at(0.5), To: at(3)})
			c.AddResponse(Response{ID: "r1", Host: 2, Behind: true, Sent: at(1), Ended: at(1.1)})
		}, "never answered"},
		{"read behind another one, killed", func(c *Checker) {
			c.SetWindow(Window{Kind: HostKill, Host: 2, From: at(0.8), To: at(0.9)})
			c.AddResponse(Response{ID: "r1", Host: 2, Behind: true, Sent: at(0), Ended: at(1)})
		}, ""},
		{"aborted by a kill", func(c *Checker) {
			c.SetWindow(Window{Kind: HostStop, Host: 2, From: at(0.5), To: at(3)})
			c.SetWindow(Window{Kind: HostKill, Host: 2, From: at(0.8), To: at(0.9)})
			c.AddResponse(Response{ID: "r1", Host: 2, Sent: at(0), Ended: at(1)})
			addRun(c, "r1", "t1", -1, 0.1)
		}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := NewChecker(4)
			test.history(c)
			c.CheckLeases(at(10))
			c.Finish()
			assertViolation(t, c, test.want)
		})
	}
}

func assertViolation(t *testing.T, c *Checker, want string) {
	t.Helper()
	got := strings.Join(c.Violations(), "; ")
	if want == "" && got != "" || !strings.Contains(got, want) {
		t.Errorf("violations: got %q, want %q", got, want)
	}
}
