package report

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestLatency  = time.Microsecond
	highestLatency = 10 * time.Minute
	// digits is the precision of latencies, in significant figures.
	digits = 3
	// windowDigits is the same for the histograms of the windows.
	windowDigits = 2
	// window is the length of a window.
	window = time.Second
)

// Collector gathers attempts. It is safe for concurrent use.
type Collector struct {
	mu       sync.Mutex
	info     Info
	totals   *tally
	services map[string]*tally
	seconds  []*second
	last     int64
}

// second is the raw content of one Window.
type second struct {
	sent, done, notRun, unknown int
	latency                     *hdrhistogram.Histogram
	loads                       map[string]*loads
}

// NewCollector returns an empty collector for the run that info describes.
func NewCollector(info Info) *Collector {
	return &Collector{info: info, totals: newTally("all"), services: map[string]*tally{}, last: info.Started}
}

// Add takes one attempt.
func (c *Collector) Add(attempt Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, attempt.EndNs)
	delay := time.Duration(2 * c.info.DelayMs * float64(time.Millisecond))
	service := c.service(attempt.Service)
	service.add(attempt, delay)
	c.totals.add(attempt, delay)
	if !attempt.Probe {
		c.addToWindow(attempt, delay)
	}
}

// LatestWindow returns the counts of the newest whole second, for a progress line.
func (c *Collector) LatestWindow(now time.Time) Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := c.index(now.UnixNano()) - 1
	if index < 0 || index >= len(c.seconds) {
		return Window{Second: max(index, 0)}
	}
	return c.seconds[index].window(index)
}

// Report computes the figures of all attempts so far.
func (c *Collector) Report() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	length := time.Duration(c.last - c.info.Started)
	report := &Report{Info: c.info, Seconds: length.Seconds()}
	for _, name := range sortedKeys(c.services) {
		report.Services = append(report.Services, c.finish(c.services[name], length))
	}
	report.Totals = c.finish(c.totals, length)
	for i, sec := range c.seconds {
		report.Windows = append(report.Windows, sec.window(i))
	}
	c.markWindows(report)
	return report
}

func (c *Collector) finish(t *tally, length time.Duration) Service {
	service := t.report(length)
	if t == c.totals {
		return service
	}
	service.Imbalance = c.imbalance(t)
	return service
}

func (c *Collector) service(name string) *tally {
	t, ok := c.services[name]
	if !ok {
		t = newTally(name)
		c.services[name] = t
	}
	return t
}

func (c *Collector) index(at int64) int {
	return int(time.Duration(at-c.info.Started) / window)
}

func (c *Collector) second(at int64) *second {
	index := max(c.index(at), 0)
	for len(c.seconds) <= index {
		c.seconds = append(c.seconds, &second{
			latency: newHistogram(windowDigits), loads: map[string]*loads{},
		})
	}
	return c.seconds[index]
}

func (c *Collector) addToWindow(attempt Attempt, delay time.Duration) {
	c.second(attempt.SentNs).sent++
	sec := c.second(attempt.EndNs)
	switch attempt.Outcome {
	case Done:
		sec.done++
		record(sec.latency, time.Duration(attempt.EndNs-attempt.DueNs)+delay)
		sec.load(attempt.Service).add(attempt)
	case NotRun:
		sec.notRun++
	default:
		sec.unknown++
	}
}

func (s *second) load(service string) *loads {
	l, ok := s.loads[service]
	if !ok {
		l = newLoads()
		s.loads[service] = l
	}
	return l
}

func (s *second) window(index int) Window {
	return Window{
		Second: index, Sent: s.sent, Done: s.done, NotRun: s.notRun, Unknown: s.unknown,
		P50: quantile(s.latency, 50), P99: quantile(s.latency, 99), Max: quantile(s.latency, 100),
	}
}

// markWindows sets what is known only once the run has ended.
func (c *Collector) markWindows(report *Report) {
	for i, sec := range c.seconds {
		report.Windows[i].Imbalance = map[string]float64{}
		for name, l := range sec.loads {
			ratio, _ := l.imbalance(c.targets(c.services[name]))
			report.Windows[i].Imbalance[name] = ratio
		}
	}
	for _, t := range c.services {
		for _, key := range t.keys {
			for _, gap := range key.gaps(c.last) {
				from, to := c.index(gap.from), c.index(gap.to)
				for i := max(from, 0); i <= to && i < len(report.Windows); i++ {
					report.Windows[i].Unavailable++
				}
			}
		}
	}
}

func newHistogram(precision int) *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(lowestLatency), int64(highestLatency), precision)
}

func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	value = min(max(value, lowestLatency), highestLatency)
	_ = histogram.RecordValue(int64(value)) // the value is within the bounds
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) float64 {
	if histogram.TotalCount() == 0 {
		return 0
	}
	return milliseconds(time.Duration(histogram.ValueAtQuantile(percent)))
}

func sortedKeys[V any](table map[string]V) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
