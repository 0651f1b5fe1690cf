package pinectl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"pineturn/core/record"
)

// rows is a table: the first row is the heading.
type rows [][]string

// show prints a value for programs, or its table for people.
func (t *tool) show(value any, list rows) error {
	if t.options.output == asJSON {
		return t.json(value)
	}
	out := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	for _, row := range list {
		if _, err := fmt.Fprintln(out, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "print table")
		}
	}
	return errors.Wrap(out.Flush(), "print table")
}

func (t *tool) json(value any) error {
	encode := json.NewEncoder(t.out)
	encode.SetIndent("", "  ")
	return errors.Wrap(encode.Encode(value), "print JSON")
}

// say prints a value for programs, or a text for people.
func (t *tool) say(value any, text string) error {
	if t.options.output == asJSON {
		return t.json(value)
	}
	_, err := fmt.Fprintln(t.out, strings.TrimSuffix(text, "\n"))
	return errors.Wrap(err, "print")
}

// note prints a remark for people beside the output proper.
func (t *tool) note(format string, args ...any) {
	if t.options.output == table {
		_, _ = fmt.Fprintf(t.errOut, format+"\n", args...)
	}
}

func text(value any) string { return fmt.Sprint(value) }

func yes(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// or returns what to show for a part that is not known.
func or(value, otherwise string) string {
	if value == "" {
		return otherwise
	}
	return value
}

func holder(incarnation *record.Incarnation) string {
	if incarnation == nil {
		return "none"
	}
	return incarnation.String()
}

// list keeps an empty list from being printed as null.
func list[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
