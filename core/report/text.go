package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write report")
}

// ReadJSON reads a report that WriteJSON wrote.
func ReadJSON(source io.Reader) (*Report, error) {
	var report Report
	if err := json.NewDecoder(source).Decode(&report); err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	return &report, nil
}

// WriteText writes the report as a human-readable table.
func (r *Report) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "%s, workload %s, seed %d, %.0f requests/s offered, %.1f s\n",
		r.Info.Mode, r.Info.Workload, r.Info.Seed, r.Info.Rate, r.Seconds)
	if r.Info.DelayMs > 0 {
		fmt.Fprintf(out, "latencies include 2 x %.1f ms of delay between caller and host, added to the measured values\n", r.Info.DelayMs)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	columns := append(append([]Service{}, r.Services...), r.Totals)
	writeRow(table, "", columns, func(s Service) string { return s.Name })
	for _, row := range rows {
		writeRow(table, row.name, columns, row.text)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	return r.writeReasons(out)
}

func (r *Report) writeReasons(out io.Writer) error {
	var text strings.Builder
	for _, service := range r.Services {
		for _, reason := range sortedKeys(service.Reasons) {
			fmt.Fprintf(&text, "%s: %d attempts %s\n", service.Name, service.Reasons[reason], reason)
		}
		if worst := service.Unavailable.WorstKey; worst != "" {
			fmt.Fprintf(&text, "%s: worst key %s, %.0f ms unavailable\n", service.Name, worst, service.Unavailable.Worst)
		}
	}
	_, err := io.WriteString(out, text.String())
	return errors.Wrap(err, "write report")
}

func writeRow(out io.Writer, name string, columns []Service, text func(Service) string) {
	cells := []string{name}
	for _, column := range columns {
		cells = append(cells, text(column))
	}
	fmt.Fprintln(out, strings.Join(cells, "\t"))
}

// row is a row of the table of a report.
type row struct {
	name string
	text func(Service) string
}

var rows = []row{
	{"requests", func(s Service) string { return fmt.Sprint(s.Requests) }},
	{"done", func(s Service) string { return fmt.Sprint(s.Done) }},
	{"not run", func(s Service) string { return fmt.Sprint(s.NotRun) }},
	{"unknown", func(s Service) string { return fmt.Sprint(s.Unknown) }},
	{"wrong answers", func(s Service) string { return fmt.Sprint(s.Wrong) }},
	{"goodput /s", func(s Service) string { return fmt.Sprintf("%.1f", s.Goodput) }},
	{"retries sent", func(s Service) string { return fmt.Sprint(s.Retries) }},
	{"attempts/request", func(s Service) string { return fmt.Sprintf("%.3f", ratio(s.Attempts, s.Requests)) }},
	{"latency p50 ms", func(s Service) string { return fmt.Sprintf("%.2f", s.Latency.P50) }},
	{"latency p90 ms", func(s Service) string { return fmt.Sprintf("%.2f", s.Latency.P90) }},
	{"latency p99 ms", func(s Service) string { return fmt.Sprintf("%.2f", s.Latency.P99) }},
	{"latency p99.9 ms", func(s Service) string { return fmt.Sprintf("%.2f", s.Latency.P999) }},
	{"latency max ms", func(s Service) string { return fmt.Sprintf("%.2f", s.Latency.Max) }},
	{"beyond work p50 ms", func(s Service) string { return fmt.Sprintf("%.2f", s.Overhead.P50) }},
	{"beyond work p99 ms", func(s Service) string { return fmt.Sprintf("%.2f", s.Overhead.P99) }},
	{"refusal p50 ms", func(s Service) string { return fmt.Sprintf("%.2f", s.Refusal.P50) }},
	{"refusal p99 ms", func(s Service) string { return fmt.Sprintf("%.2f", s.Refusal.P99) }},
	{"imbalance mean", func(s Service) string { return fmt.Sprintf("%.2f", s.Imbalance.Mean) }},
	{"imbalance p95", func(s Service) string { return fmt.Sprintf("%.2f", s.Imbalance.P95) }},
	{"imbalance bound", func(s Service) string { return fmt.Sprintf("%.2f", s.Imbalance.Bound) }},
	{"imbalance, whole run", func(s Service) string { return fmt.Sprintf("%.2f", s.Imbalance.WholeRun) }},
	{"keys seen", func(s Service) string { return fmt.Sprint(s.Churn.Keys) }},
	{"keys moved", func(s Service) string { return fmt.Sprint(s.Churn.Moved) }},
	{"changes of owner", func(s Service) string { return fmt.Sprint(s.Churn.Changes) }},
	{"keys unavailable", func(s Service) string { return fmt.Sprint(s.Unavailable.Keys) }},
	{"unavailable total ms", func(s Service) string { return fmt.Sprintf("%.0f", s.Unavailable.Total) }},
	{"unavailable worst ms", func(s Service) string { return fmt.Sprintf("%.0f", s.Unavailable.Worst) }},
	{"still unavailable", func(s Service) string { return fmt.Sprint(s.Unavailable.Open) }},
	{"longest wait ms", func(s Service) string { return fmt.Sprintf("%.0f", s.Unavailable.LongestWait) }},
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
