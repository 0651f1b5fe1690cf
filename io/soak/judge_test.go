package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pineturn/io/standin/keyholder"
)

var start = time.Unix(1_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func ran(j *Judge, id, target string, key int, seconds float64) {
	j.Event(keyholder.Event{Kind: keyholder.Began, Run: &keyholder.Run{ID: id, Target: target, Key: key, At: at(seconds)}})
}

func granted(j *Judge, target string, first, last int, fence int64, from, until float64) {
	j.Event(keyholder.Event{
		Kind: keyholder.Granted, At: at(from), Target: target, First: first, Last: last, Fence: fence, Until: at(until),
	})
}

func whole() Answer {
	const id = "r1"
	return Answer{
		ID: id, Sent: at(0), Ended: at(1), Status: http.StatusOK, EchoedID: id,
		Signature: keyholder.Signature(id), Body: keyholder.Body("t1", id),
	}
}

// TestJudge has each promise kept and broken once.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name string
		seen func(j *Judge)
		want string
	}{
		{"whole answer", func(j *Judge) { j.Answer(whole()) }, ""},
		{"answer of another", func(j *Judge) {
			a := whole()
			a.EchoedID = "r2"
			j.Answer(a)
		}, "answer of r2"},
		{"cut body", func(j *Judge) {
			a := whole()
			a.Body = "t1 ran"
			j.Answer(a)
		}, "got the body"},
		{"ran twice", func(j *Judge) {
			a := whole()
			a.Once = true
			j.Answer(a)
			ran(j, "r1", "t1", -1, 0)
			ran(j, "r1", "t2", -1, 0.5)
		}, "ran 2 times"},
		{"refused and run", func(j *Judge) {
			j.Answer(Answer{ID: "r1", Once: true, Status: http.StatusServiceUnavailable})
			ran(j, "r1", "t1", -1, 0)
		}, "was refused with 503 and ran"},
		{"two owners", func(j *Judge) {
			granted(j, "t1", 0, 99, 1, 0, 4)
			granted(j, "t2", 50, 60, 2, 3, 7)
		}, "had keys 50 to 60"},
		{"two owners for a moment, both at work", func(j *Judge) {
			granted(j, "t1", 0, 99, 1, 0, 4)
			granted(j, "t2", 50, 60, 2, 3.9, 7)
			ran(j, "r1", "t1", 55, 3.95)
			ran(j, "r2", "t2", 55, 3.96)
		}, "had keys 50 to 60"},
		{"two owners that both renew", func(j *Judge) {
			for i := range 10 {
				granted(j, "t1", 0, 99, 1, float64(i), float64(i)+4)
				granted(j, "t2", 0, 99, 2, float64(i)+0.1, float64(i)+4)
				j.Settle(at(float64(i) - 2))
			}
			j.Ended("t1", at(9.2))
		}, "had keys 0 to 99"},
		{"owner after a release", func(j *Judge) {
			granted(j, "t1", 0, 99, 1, 0, 4)
			j.Event(keyholder.Event{Kind: keyholder.Released, Target: "t1", First: 50, Last: 60, At: at(1)})
			granted(j, "t2", 50, 60, 2, 1, 5)
		}, ""},
		{"owner beside a part that was kept", func(j *Judge) {
			granted(j, "t1", 0, 99, 1, 0, 4)
			j.Event(keyholder.Event{Kind: keyholder.Released, Target: "t1", First: 50, Last: 60, At: at(1)})
			granted(j, "t2", 50, 61, 2, 1, 5)
		}, "had keys 61 to 61"},
		{"owner after the target's end", func(j *Judge) {
			granted(j, "t1", 0, 99, 1, 0, 4)
			j.Ended("t1", at(1))
			granted(j, "t2", 0, 99, 2, 1.5, 5)
		}, ""},
		{"grant held up by a pause", func(j *Judge) {
			j.Under(Window{Kind: HostPause, Host: 1, From: at(1), To: at(3)})
			granted(j, "t1", 0, 99, 1, 0, 4)
			granted(j, "t2", 0, 99, 2, 3.1, 5)
		}, ""},
		{"leaving target", func(j *Judge) {
			j.Drained("t1", at(0))
			ran(j, "r1", "t1", -1, 2.5)
		}, "known to leave"},
		{"leaving target beside a fault", func(j *Judge) {
			j.Under(Window{Kind: LinkCut, Host: 0, From: at(-1), To: at(0.5)})
			j.Drained("t1", at(0))
			ran(j, "r1", "t1", -1, 2.5)
		}, ""},
		{"version not in force", func(j *Judge) {
			j.Acked(3, at(0))
			j.Answer(Answer{ID: "r1", Status: http.StatusNotFound, Version: 3, Sent: at(2.5), Ended: at(2.6)})
		}, "not in force"},
		{"version taken back", func(j *Judge) {
			a := whole()
			a.Version = 3
			j.Answer(a)
			j.Answer(Answer{ID: "r2", Status: http.StatusNotFound, Version: 3, Sent: at(0), Ended: at(0)})
		}, "went back"},
		{"version unknown to a new process", func(j *Judge) {
			a := whole()
			a.Version = 3
			j.Answer(a)
			j.Answer(Answer{ID: "r2", Life: 1, Status: http.StatusNotFound, Version: 3, Sent: at(0), Ended: at(0)})
		}, ""},
		{"cut by a planned stop", func(j *Judge) {
			j.Under(Window{Kind: HostStop, Host: 2, From: at(0.5), To: at(3)})
			j.Answer(Answer{ID: "r1", Host: 2, Sent: at(0), Ended: at(1)})
			ran(j, "r1", "t1", -1, 0.1)
		}, "cut by the planned stop"},
		{"cut by a kill", func(j *Judge) {
			j.Under(Window{Kind: HostStop, Host: 2, From: at(0.5), To: at(3)})
			j.Under(Window{Kind: HostKill, Host: 2, From: at(0.8), To: at(0.9)})
			j.Answer(Answer{ID: "r1", Host: 2, Sent: at(0), Ended: at(1)})
			ran(j, "r1", "t1", -1, 0.1)
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := NewJudge()
			c.seen(j)
			j.Settle(at(10))
			j.Finish()
			wantBroken(t, j, c.want)
		})
	}
}

func wantBroken(t *testing.T, j *Judge, want string) {
	t.Helper()
	got := strings.Join(j.Broken(), "; ")
	if want == "" && got != "" || !strings.Contains(got, want) {
		t.Errorf("broken: got %q, want %q", got, want)
	}
}
