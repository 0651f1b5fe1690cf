package report

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

const ms = int64(time.Millisecond)

// sample returns an attempt of key k that was due and sent at sent and took
// length, both in milliseconds.
func sample(sent, length int64, outcome string) Attempt {
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

func equal[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func with(attempt Attempt, change func(*Attempt)) Attempt {
	change(&attempt)
	return attempt
}

func TestUnavailableTime(t *testing.T) {
	failed := func(sent, length int64) Attempt {
		return with(sample(sent, length, NotRun), func(a *Attempt) { a.Reason = "no-owner" })
	}
	shed := with(sample(100, 10, NotRun), func(a *Attempt) { a.Reason = "overloaded" })
	tests := map[string]struct {
		attempts    []Attempt
		total, gaps int
		open        int
	}{
		"none":               {[]Attempt{sample(0, 10, Done)}, 0, 0, 0},
		"one gap":            {[]Attempt{sample(0, 10, Done), failed(100, 10), failed(200, 10), sample(300, 10, Done)}, 210, 1, 0},
		"two gaps":           {[]Attempt{failed(100, 10), sample(200, 10, Done), failed(300, 10), sample(400, 10, Done)}, 220, 2, 0},
		"failure told late":  {[]Attempt{sample(300, 10, Done), failed(100, 900)}, 210, 1, 0},
		"overload is no gap": {[]Attempt{shed, sample(300, 10, Done)}, 0, 0, 0},
		"still open":         {[]Attempt{failed(100, 10), failed(200, 10)}, 110, 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := collect(Info{}, test.attempts...).Totals.Unavailable
			equal(t, "total", int(got.Total), test.total)
			equal(t, "gaps", got.Gaps, test.gaps)
			equal(t, "open", got.Open, test.open)
		})
	}
}

func TestChurnFollowsEpochs(t *testing.T) {
	at := func(sent int64, target string, epoch uint64) Attempt {
		return with(sample(sent, 1, Done), func(a *Attempt) { a.Target, a.Epoch = target, epoch })
	}
	got := collect(Info{}, at(0, "t1", 1), at(10, "t2", 2), at(20, "t1", 1), at(30, "t2", 2)).Totals.Churn
	equal(t, "changes", got.Changes, 1)
	equal(t, "moved", got.Moved, 1)
	equal(t, "keys", got.Keys, 1)
}

func TestImbalanceAndBound(t *testing.T) {
	of := func(key, target string) Attempt {
		return with(sample(0, 1, Done), func(a *Attempt) { a.Key, a.Target = key, target })
	}
	got := collect(Info{Targets: map[string]int{"s": 4}}, of("a", "t1"), of("a", "t1"), of("b", "t1"), of("c", "t2"))
	equal(t, "imbalance", got.Services[0].Imbalance.Mean, 3.0)
	equal(t, "bound", got.Services[0].Imbalance.Bound, 2.0)
}

func TestLatencyCountsFromTheDueTime(t *testing.T) {
	late := with(sample(100, 10, Done), func(a *Attempt) { a.DueNs = 50 * ms })
	got := collect(Info{DelayMs: 8}, late).Totals
	equal(t, "latency", int(got.Latency.Max), 76)
	equal(t, "beyond work", int(got.Overhead.Max), 75)
}

func TestOutcomesOfRetriedRequests(t *testing.T) {
	first := with(sample(0, 10, NotRun), func(a *Attempt) { a.Final, a.Reason = false, "shed" })
	second := with(sample(50, 10, Done), func(a *Attempt) { a.Number = 2 })
	got := collect(Info{}, first, second).Totals
	equal(t, "requests", got.Requests, 1)
	equal(t, "attempts", got.Attempts, 2)
	equal(t, "retries", got.Retries, 1)
	equal(t, "done", got.Done, 1)
	equal(t, "not run", got.NotRun, 0)
	equal(t, "refusals", got.Refusal.Count, 1)
}

func TestReportFormats(t *testing.T) {
	result := collect(Info{Mode: "run"}, sample(0, 10, Done), sample(1500, 10, NotRun))
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
	equal(t, "done", read.Totals.Done, 1)
	equal(t, "windows", len(read.Windows), 2)
	for name, out := range map[string]string{"text": text.String(), "comparison": both.String()} {
		equal(t, name+" has goodput", strings.Contains(out, "goodput"), true)
	}
	equal(t, "SVG", strings.Contains(svg.String(), "<svg"), true)
	equal(t, "PNG", strings.HasPrefix(png.String(), "\x89PNG"), true)
}
