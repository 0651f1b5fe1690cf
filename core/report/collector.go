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
	// latencyDigits is the precision of the latency histograms of a run, in
	// significant figures.
	latencyDigits = 3
	// windowDigits is the precision of the latency histograms of the windows, in
	// significant figures.
	windowDigits = 2
	windowLength = time.Second
)

// Collector aggregates attempts to a Report. It is safe for concurrent use.
type Collector struct {
	mu       sync.Mutex
	info     Info
	totals   *serviceStats
	services map[string]*serviceStats
	windows  []*windowStats
	// lastEndNs is the latest end of an attempt, in nanoseconds since the Unix
	// epoch.
	lastEndNs int64
}

// windowStats holds the counts and the latency histogram of a Window.
type windowStats struct {
	sent, done, notRun, unknown int
	latency                     *hdrhistogram.Histogram
	loads                       map[string]*loads
}

// NewCollector returns an empty collector for the run that info describes.
func NewCollector(info Info) *Collector {
	return &Collector{info: info, totals: newServiceStats("all"), services: map[string]*serviceStats{}, lastEndNs: info.Started}
}

// Add adds an attempt.
func (c *Collector) Add(attempt Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastEndNs = max(c.lastEndNs, attempt.EndNs)
	delay := time.Duration(2 * c.info.DelayMs * float64(time.Millisecond))
	service := c.service(attempt.Service)
	service.add(attempt, delay)
	c.totals.add(attempt, delay)
	if !attempt.Probe {
		c.addToWindow(attempt, delay)
	}
}

// LatestWindow returns the counts of the window before the current one, which is
// the latest complete window. It is meant for progress output.
func (c *Collector) LatestWindow(now time.Time) Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := c.index(now.UnixNano()) - 1
	if index < 0 || index >= len(c.windows) {
		return Window{Second: max(index, 0)}
	}
	return c.windows[index].figures(index)
}

// Report returns the report on all attempts added so far.
func (c *Collector) Report() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	duration := time.Duration(c.lastEndNs - c.info.Started)
	report := &Report{Info: c.info, Seconds: duration.Seconds()}
	for _, name := range sortedKeys(c.services) {
		report.Services = append(report.Services, c.finish(c.services[name], duration))
	}
	report.Totals = c.finish(c.totals, duration)
	for i, window := range c.windows {
		report.Windows = append(report.Windows, window.figures(i))
	}
	c.addWindowFigures(report)
	return report
}

func (c *Collector) finish(stats *serviceStats, duration time.Duration) Service {
	service := stats.report(duration)
	if stats == c.totals {
		return service
	}
	service.Imbalance = c.imbalance(stats)
	return service
}

func (c *Collector) service(name string) *serviceStats {
	stats, ok := c.services[name]
	if !ok {
		stats = newServiceStats(name)
		c.services[name] = stats
	}
	return stats
}

func (c *Collector) index(at int64) int {
	return int(time.Duration(at-c.info.Started) / windowLength)
}

// windowAt returns the window of a time in nanoseconds since the Unix epoch.
func (c *Collector) windowAt(at int64) *windowStats {
	index := max(c.index(at), 0)
	for len(c.windows) <= index {
		c.windows = append(c.windows, &windowStats{
			latency: newHistogram(windowDigits), loads: map[string]*loads{},
		})
	}
	return c.windows[index]
}

func (c *Collector) addToWindow(attempt Attempt, delay time.Duration) {
	c.windowAt(attempt.SentNs).sent++
	window := c.windowAt(attempt.EndNs)
	switch attempt.Outcome {
	case Done:
		window.done++
		record(window.latency, time.Duration(attempt.EndNs-attempt.DueNs)+delay)
		window.load(attempt.Service).add(attempt)
	case NotRun:
		window.notRun++
	default:
		window.unknown++
	}
}

func (s *windowStats) load(service string) *loads {
	l, ok := s.loads[service]
	if !ok {
		l = newLoads()
		s.loads[service] = l
	}
	return l
}

func (s *windowStats) figures(index int) Window {
	return Window{
		Second: index, Sent: s.sent, Done: s.done, NotRun: s.notRun, Unknown: s.unknown,
		P50: quantile(s.latency, 50), P99: quantile(s.latency, 99), Max: quantile(s.latency, 100),
	}
}

// addWindowFigures adds the imbalance and the number of unavailable keys to the
// windows of report. These figures can only be computed after the run.
func (c *Collector) addWindowFigures(report *Report) {
	for i, window := range c.windows {
		report.Windows[i].Imbalance = map[string]float64{}
		for name, l := range window.loads {
			ratio, _ := l.imbalance(c.targets(c.services[name]))
			report.Windows[i].Imbalance[name] = ratio
		}
	}
	for _, stats := range c.services {
		for _, key := range stats.keys {
			for _, gap := range key.gaps(c.lastEndNs) {
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
	_ = histogram.RecordValue(int64(value)) // cannot fail: value is within the histogram's bounds
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
