package pinectl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"pineturn/core/record"
)

// rows is a table. The first row of a list is its heading.
type rows [][]string

// printTable prints value as JSON, or the table in the table format.
func (inv *invocation) printTable(value any, table rows) error {
	if inv.options.output == outputJSON {
		return inv.printJSON(value)
	}
	out := tabwriter.NewWriter(inv.out, 0, 0, 2, ' ', 0)
	for _, row := range table {
		if _, err := fmt.Fprintln(out, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "print table")
		}
	}
	return errors.Wrap(out.Flush(), "print table")
}

func (inv *invocation) printJSON(value any) error {
	encoder := json.NewEncoder(inv.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print JSON")
}

// printText prints value as JSON, or text in the table format.
func (inv *invocation) printText(value any, text string) error {
	if inv.options.output == outputJSON {
		return inv.printJSON(value)
	}
	_, err := fmt.Fprintln(inv.out, strings.TrimSuffix(text, "\n"))
	return errors.Wrap(err, "print")
}

// printNote prints a remark to standard error in the table format.
func (inv *invocation) printNote(format string, args ...any) {
	if inv.options.output == outputTable {
		_, _ = fmt.Fprintf(inv.errOut, format+"\n", args...)
	}
}

func toString(value any) string { return fmt.Sprint(value) }

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// orDefault returns value, or fallback if value is empty.
func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

func leaseholderText(incarnation *record.Incarnation) string {
	if incarnation == nil {
		return "none"
	}
	return incarnation.String()
}

// nonNil returns items, or an empty slice if items is nil, so that JSON output has []
// instead of null.
func nonNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
