package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Compare writes a table that compares two reports, service by service.
func Compare(out io.Writer, left, right *Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\tA: %s\tB: %s\n", title(left), title(right))
	for _, name := range serviceNames(left, right) {
		a, okA := left.service(name)
		b, okB := right.service(name)
		fmt.Fprintf(table, "%s\t\t\n", name)
		for _, row := range rows {
			fmt.Fprintf(table, "  %s\t%s\t%s\n", row.name, cell(row, a, okA), cell(row, b, okB))
		}
	}
	return errors.Wrap(table.Flush(), "write comparison")
}

func title(r *Report) string {
	return fmt.Sprintf("%s %s %.0f/s seed %d", r.Info.Mode, r.Info.Workload, r.Info.Rate, r.Info.Seed)
}

func cell(row row, service Service, ok bool) string {
	if !ok {
		return "-"
	}
	return row.text(service)
}

// serviceNames returns the sorted names of the services of both reports, followed
// by the name of the totals.
func serviceNames(left, right *Report) []string {
	names := map[string]bool{}
	for _, report := range []*Report{left, right} {
		for _, service := range report.Services {
			names[service.Name] = true
		}
	}
	return append(sortedKeys(names), left.Totals.Name)
}

func (r *Report) service(name string) (Service, bool) {
	if name == r.Totals.Name {
		return r.Totals, true
	}
	for _, service := range r.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}
