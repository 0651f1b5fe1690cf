package daemon

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// parsedValue is the value of a flag. A parse error is stored rather than
// returned, so that Settings.Check reports it together with all other errors.
type parsedValue[T any] struct {
	dest     *T
	name     string
	parse    func(text string) (T, error)
	expected string
	errs     *[]error
}

// Set parses the value. It always returns nil; a parse error is added to errs.
func (p *parsedValue[T]) Set(text string) error {
	value, err := p.parse(text)
	if err != nil {
		*p.errs = append(*p.errs, errors.Newf("--%s: invalid value %q, expected %s", p.name, text, p.expected))
		return nil
	}
	*p.dest = value
	return nil
}

// String returns the current value as text.
func (p *parsedValue[T]) String() string {
	if p == nil || p.dest == nil {
		return ""
	}
	return fmt.Sprint(*p.dest)
}

// Get returns the current value.
func (p *parsedValue[T]) Get() any { return *p.dest }

// genericFlag returns a flag for a value. The flag can also be set by its
// environment variable.
func genericFlag(value cli.Value, name, usage string) cli.Flag {
	return &cli.GenericFlag{Name: name, Value: value, Usage: usage, Sources: cli.EnvVars(envName(name))}
}
