package report

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

const ms = int64(time.Millisecond)

// attemptAt returns an attempt for key k that was due and sent at sent and took
// length, both in milliseconds.
func attemptAt(sent, length int64, outcome string) Attempt {
	return Attempt{
		ID: "r", Service: "s", Key: "k", Number: 1, Final: true, Outcome: outcome, BodyOK: outcome == Done,
		DueNs: sent * ms, SentNs: sent * ms, EndNs: (sent + length) * ms, Target: "t1", Epoch: 1, WorkNs: ms,
	}
}

func collect(info Info, attempts ...Attempt) *Report {
	collector := NewCollector(info)
	for _, attempt := range attempts {
		collector.Add(attempt)
	}
	return collector.Report()
}

func assertEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func modified(attempt Attempt, change func(*Attempt)) Attempt {
	change(&attempt)
	return attempt
}

func TestUnavailableTime(t *testing.T) {
	failed := func(sent, length int64) Attempt {
		return modified(attemptAt(sent, length, NotRun), func(a *Attempt) { a.Reason = "no-owner" })
	}
	shed := modified(attemptAt(100, 10, NotRun), func(a *Attempt) { a.Reason = "overloaded" })
	tests := map[string]struct {
		attempts    []Attempt
		total, gaps int
		open        int
	}{
		"none":                  {[]Attempt{attemptAt(0, 10, Done)}, 0, 0, 0},
		"one gap":               {[]Attempt{attemptAt(0, 10, Done), failed(100, 10), failed(200, 10), attemptAt(300, 10, Done)}, 210, 1, 0},
		"two gaps":              {[]Attempt{failed(100, 10), attemptAt(200, 10, Done), failed(300, 10), attemptAt(400, 10, Done)}, 220, 2, 0},
		"failure reported late": {[]Attempt{attemptAt(300, 10, Done), failed(100, 900)}, 210, 1, 0},
		"overload is no gap":    {[]Attempt{shed, attemptAt(300, 10, Done)}, 0, 0, 0},
		"still open":            {[]Attempt{failed(100, 10), failed(200, 10)}, 110, 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := collect(Info{}, test.attempts...).Totals.Unavailable
			assertEqual(t, "total", int(got.Total), test.total)
			assertEqual(t, "gaps", got.Gaps, test.gaps)
			assertEqual(t, "open", got.Open, test.open)
		})
	}
}

func TestChurnFollowsEpochs(t *testing.T) {
	at := func(sent int64, target string, epoch uint64) Attempt {
		return modified(attemptAt(sent, 1, Done), func(a *Attempt) { a.Target, a.Epoch = target, epoch })
	}
	got := collect(Info{}, at(0, "t1", 1), at(10, "t2", 2), at(20, "t1", 1), at(30, "t2", 2)).Totals.Churn
	assertEqual(t, "changes", got.Changes, 1)
	assertEqual(t, "moved", got.Moved, 1)
	assertEqual(t, "keys", got.Keys, 1)
}

func TestImbalanceAndBound(t *testing.T) {
	of := func(key, target string) Attempt {
		return modified(attemptAt(0, 1, Done), func(a *Attempt) { a.Key, a.Target = key, target })
	}
	got := collect(Info{Targets: map[string]int{"s": 4}}, of("a", "t1"), of("a", "t1"), of("b", "t1"), of("c", "t2"))
	assertEqual(t, "imbalance", got.Services[0].Imbalance.Mean, 3.0)
	assertEqual(t, "bound", got.Services[0].Imbalance.Bound, 2.0)
}

func TestLatencyCountsFromTheDueTime(t *testing.T) {
	late := modified(attemptAt(100, 10, Done), func(a *Attempt) { a.DueNs = 50 * ms })
	got := collect(Info{DelayMs: 8}, late).Totals
	assertEqual(t, "latency", int(got.Latency.Max), 76)
	assertEqual(t, "beyond work", int(got.Overhead.Max), 75)
}

func TestOutcomesOfRetriedRequests(t *testing.T) {
	first := modified(attemptAt(0, 10, NotRun), func(a *Attempt) { a.Final, a.Reason = false, "shed" })
	second := modified(attemptAt(50, 10, Done), func(a *Attempt) { a.Number = 2 })
	got := collect(Info{}, first, second).Totals
	assertEqual(t, "requests", got.Requests, 1)
	assertEqual(t, "attempts", got.Attempts, 2)
	assertEqual(t, "retries", got.Retries, 1)
	assertEqual(t, "done", got.Done, 1)
	assertEqual(t, "not run", got.NotRun, 0)
	assertEqual(t, "refusals", got.Refusal.Count, 1)
}

func TestReportFormats(t *testing.T) {
	result := collect(Info{Mode: "run"}, attemptAt(0, 10, Done), attemptAt(1500, 10, NotRun))
	var data, text, both, svg, png bytes.Buffer
	for name, err := range map[string]error{
		"JSON": result.WriteJSON(&data), "text": result.WriteText(&text), "comparison": Compare(&both, result, result),
		"SVG": result.WriteSVG(&svg), "PNG": result.WritePNG(&png),
	} {
		if err != nil {
			t.Errorf("%s: got %v, want no error", name, err)
		}
	}
	read, err := ReadJSON(&data)
	if err != nil {
		t.Fatal(err)
	}
	assertEqual(t, "done", read.Totals.Done, 1)
	assertEqual(t, "windows", len(read.Windows), 2)
	for name, out := range map[string]string{"text": text.String(), "comparison": both.String()} {
		assertEqual(t, name+" has goodput", strings.Contains(out, "goodput"), true)
	}
	assertEqual(t, "SVG", strings.Contains(svg.String(), "<svg"), true)
	assertEqual(t, "PNG", strings.HasPrefix(png.String(), "\x89PNG"), true)
}
