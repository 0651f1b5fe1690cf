package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// envVar returns the environment variable of a command's flag.
func envVar(command, flag string) cli.ValueSourceChain {
	name := "PINETURN_STANDIN_" + command + "_" + flag
	return cli.EnvVars(strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

// flags builds the flags of the command with that name. Each flag can also be set
// by its environment variable.
type flags string

func (f flags) string(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: envVar(string(f), name)}
}

func (f flags) int(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: envVar(string(f), name)}
}

func (f flags) float(name string, value float64, usage string) cli.Flag {
	return &cli.FloatFlag{Name: name, Value: value, Usage: usage, Sources: envVar(string(f), name)}
}

func (f flags) duration(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: envVar(string(f), name)}
}

func (f flags) bool(name, usage string) cli.Flag {
	return &cli.BoolFlag{Name: name, Usage: usage, Sources: envVar(string(f), name)}
}

// inputErrors collects the errors of a command's flags and arguments, so that all
// are reported together.
type inputErrors struct{ errs []error }

// check adds an error unless ok is true.
func (e *inputErrors) check(ok bool, format string, args ...any) {
	if !ok {
		e.errs = append(e.errs, fmt.Errorf(format, args...))
	}
}

// address checks that a flag's value is an IP address with a port.
func (e *inputErrors) address(flag, value string) {
	host, _, err := net.SplitHostPort(value)
	e.check(err == nil && net.ParseIP(host) != nil, "--%s %q: want IP:PORT", flag, value)
}

// nonNegative checks that the named duration flags are not negative.
func (e *inputErrors) nonNegative(command *cli.Command, names ...string) {
	for _, name := range names {
		e.check(command.Duration(name) >= 0, "--%s %s: want 0 or more", name, command.Duration(name))
	}
}

// err returns all errors joined in an inputError, or nil if there are none.
func (e *inputErrors) err() error {
	if len(e.errs) == 0 {
		return nil
	}
	return inputError{errors.Join(e.errs...)}
}

// openAppend opens a file for appending, and creates it if it does not exist.
func openAppend(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, inputError{fmt.Errorf("open output: %w", err)}
	}
	return file, nil
}
