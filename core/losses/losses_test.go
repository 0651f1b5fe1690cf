package losses

import (
	"slices"
	"testing"
)

func line(id, via string, relayed bool, status, reason string) string {
	kind := "false"
	if relayed {
		kind = "true"
	}
	return `I1204 17:00:00.000000 1 metrics.go:229] "Request ended" id="` + id + `" service="records" route="r1" via="` + via + `" relayed=` + kind + ` status=` + status + ` reason="` + reason + `" took="1.5s" err="send to \"x\": status=9"`
}

// TestRows guards against a relayed request that counts twice, or with the reason that says nothing
// but that another host has refused it, and against requests that were served.
func TestRows(t *testing.T) {
	s := New()
	for _, l := range []string{
		line("a", "10.0.0.2:1", false, "503", "refused-by-host"), line("a", "", true, "503", "no-room"),
		line("b", "", true, "503", "no-room"), line("b", "10.0.0.2:1", false, "503", "refused-by-host"),
		line("c", "", true, "503", "host-stops"), line("c", "10.0.0.2:1", false, "200", "answered"),
		line("d", "", false, "504", "timed-out"), line("e", "", false, "200", "answered"), "another line", `"Request ended" status=x`,
	} {
		s.AddLine("host-1", l)
	}
	want := []Row{{"records", "r1", 503, "no-room", 2}, {"records", "r1", 504, "timed-out", 1}}
	if got := s.Rows(); !slices.Equal(got, want) {
		t.Errorf("rows: got %+v, want %+v", got, want)
	}
}

// TestDropped guards against totals that are added up as if each line had its own.
func TestDropped(t *testing.T) {
	s := New()
	for _, l := range []struct{ log, line string }{
		{"host-1", `"Log lines were dropped" failures=3 successes=9`}, {"host-1", `"Log lines were dropped" failures=5 successes=9`},
		{"host-2", `"Log lines were dropped" failures=1 successes=0`},
	} {
		s.AddLine(l.log, l.line)
	}
	if got := s.Dropped(); got != 6 {
		t.Errorf("dropped lines: got %d, want 6", got)
	}
}
