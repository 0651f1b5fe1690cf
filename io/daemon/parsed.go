package daemon

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// parsed is the value of a flag. A text that can't be read is kept as a fault,
// so that it is named together with all others.
type parsed[T any] struct {
	into   *T
	name   string
	parse  func(text string) (T, error)
	want   string
	faults *[]error
}

// Set reads the value. It returns no error, but adds to the faults.
func (p *parsed[T]) Set(text string) error {
	value, err := p.parse(text)
	if err != nil {
		*p.faults = append(*p.faults, errors.Newf("--%s: %q, want %s", p.name, text, p.want))
		return nil
	}
	*p.into = value
	return nil
}

// String returns the present value.
func (p *parsed[T]) String() string {
	if p == nil || p.into == nil {
		return ""
	}
	return fmt.Sprint(*p.into)
}

// Get returns the present value.
func (p *parsed[T]) Get() any { return *p.into }

// flagOf returns the flag of a value, with its environment variable.
func flagOf(value cli.Value, name, usage string) cli.Flag {
	return &cli.GenericFlag{Name: name, Value: value, Usage: usage, Sources: cli.EnvVars(envName(name))}
}
