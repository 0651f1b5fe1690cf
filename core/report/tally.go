package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally counts the attempts of one service.
type tally struct {
	figures  Service
	latency  *hdrhistogram.Histogram
	overhead *hdrhistogram.Histogram
	refusal  *hdrhistogram.Histogram
	keys     map[string]*keyHistory
	whole    *loads
	wait     time.Duration
}

func newTally(name string) *tally {
	return &tally{
		figures: Service{Name: name, Reasons: map[string]int{}},
		latency: newHistogram(digits), overhead: newHistogram(digits), refusal: newHistogram(digits),
		keys: map[string]*keyHistory{}, whole: newLoads(),
	}
}

func (t *tally) add(attempt Attempt, delay time.Duration) {
	t.history(attempt).add(attempt)
	took := time.Duration(attempt.EndNs - attempt.SentNs)
	if attempt.Outcome == Done {
		t.wait = max(t.wait, took-time.Duration(attempt.WorkNs))
	}
	if attempt.Probe {
		return
	}
	t.figures.Attempts++
	if attempt.Number > 1 {
		t.figures.Retries++
	}
	if attempt.Outcome != Done {
		t.figures.Reasons[attempt.Outcome+"/"+attempt.Reason]++
	}
	if attempt.Outcome == NotRun {
		record(t.refusal, took+delay)
	}
	if attempt.Final {
		t.addFinal(attempt, delay)
	}
}

// addFinal counts what became of the whole request.
func (t *tally) addFinal(attempt Attempt, delay time.Duration) {
	t.figures.Requests++
	switch attempt.Outcome {
	case Done:
		t.addDone(attempt, delay)
	case NotRun:
		t.figures.NotRun++
	default:
		t.figures.Unknown++
	}
}

func (t *tally) addDone(attempt Attempt, delay time.Duration) {
	t.figures.Done++
	if !attempt.BodyOK {
		t.figures.Wrong++
	}
	latency := time.Duration(attempt.EndNs-attempt.DueNs) + delay
	record(t.latency, latency)
	record(t.overhead, latency-time.Duration(attempt.WorkNs))
	t.whole.add(attempt)
}

func (t *tally) history(attempt Attempt) *keyHistory {
	name := attempt.Service + "/" + attempt.Key
	key, ok := t.keys[name]
	if !ok {
		key = &keyHistory{}
		t.keys[name] = key
	}
	return key
}

func (t *tally) report(length time.Duration) Service {
	figures := t.figures
	figures.Latency = summary(t.latency)
	figures.Overhead = summary(t.overhead)
	figures.Refusal = summary(t.refusal)
	if length > 0 {
		figures.Goodput = float64(figures.Done-figures.Wrong) / length.Seconds()
	}
	figures.Churn = t.churn()
	figures.Unavailable = t.unavailable()
	return figures
}

func summary(histogram *hdrhistogram.Histogram) Percentiles {
	if histogram.TotalCount() == 0 {
		return Percentiles{}
	}
	return Percentiles{
		Count: histogram.TotalCount(),
		Mean:  milliseconds(time.Duration(histogram.Mean())),
		P50:   quantile(histogram, 50),
		P90:   quantile(histogram, 90),
		P99:   quantile(histogram, 99),
		P999:  quantile(histogram, 99.9),
		Max:   quantile(histogram, 100),
	}
}
