package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// serviceStats aggregates the attempts of one service, or of all services.
type serviceStats struct {
	figures  Service
	latency  *hdrhistogram.Histogram
	overhead *hdrhistogram.Histogram
	refusal  *hdrhistogram.Histogram
	keys     map[string]*keyHistory
	// runLoads is the work of the whole run.
	runLoads *loads
	// longestWait is the longest time of a successful attempt beyond its service
	// time.
	longestWait time.Duration
}

func newServiceStats(name string) *serviceStats {
	return &serviceStats{
		figures: Service{Name: name, Reasons: map[string]int{}},
		latency: newHistogram(latencyDigits), overhead: newHistogram(latencyDigits), refusal: newHistogram(latencyDigits),
		keys: map[string]*keyHistory{}, runLoads: newLoads(),
	}
}

func (s *serviceStats) add(attempt Attempt, delay time.Duration) {
	s.historyOf(attempt).add(attempt)
	elapsed := time.Duration(attempt.EndNs - attempt.SentNs)
	if attempt.Outcome == Done {
		s.longestWait = max(s.longestWait, elapsed-time.Duration(attempt.WorkNs))
	}
	if attempt.Probe {
		return
	}
	s.figures.Attempts++
	if attempt.Number > 1 {
		s.figures.Retries++
	}
	if attempt.Outcome != Done {
		s.figures.Reasons[attempt.Outcome+"/"+attempt.Reason]++
	}
	if attempt.Outcome == NotRun {
		record(s.refusal, elapsed+delay)
	}
	if attempt.Final {
		s.addFinal(attempt, delay)
	}
}

// addFinal counts a request by the outcome of its last attempt.
func (s *serviceStats) addFinal(attempt Attempt, delay time.Duration) {
	s.figures.Requests++
	switch attempt.Outcome {
	case Done:
		s.addDone(attempt, delay)
	case NotRun:
		s.figures.NotRun++
	default:
		s.figures.Unknown++
	}
}

func (s *serviceStats) addDone(attempt Attempt, delay time.Duration) {
	s.figures.Done++
	if !attempt.BodyOK {
		s.figures.Wrong++
	}
	latency := time.Duration(attempt.EndNs-attempt.DueNs) + delay
	record(s.latency, latency)
	record(s.overhead, latency-time.Duration(attempt.WorkNs))
	s.runLoads.add(attempt)
}

func (s *serviceStats) historyOf(attempt Attempt) *keyHistory {
	name := attempt.Service + "/" + attempt.Key
	key, ok := s.keys[name]
	if !ok {
		key = &keyHistory{}
		s.keys[name] = key
	}
	return key
}

func (s *serviceStats) report(duration time.Duration) Service {
	figures := s.figures
	figures.Latency = summary(s.latency)
	figures.Overhead = summary(s.overhead)
	figures.Refusal = summary(s.refusal)
	if duration > 0 {
		figures.Goodput = float64(figures.Done-figures.Wrong) / duration.Seconds()
	}
	figures.Churn = s.churn()
	figures.Unavailable = s.unavailable()
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
