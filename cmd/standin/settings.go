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

// flags makes the flags of one command.
type flags string

func (f flags) text(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: envVar(string(f), name)}
}

func (f flags) number(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: envVar(string(f), name)}
}

func (f flags) fraction(name string, value float64, usage string) cli.Flag {
	return &cli.FloatFlag{Name: name, Value: value, Usage: usage, Sources: envVar(string(f), name)}
}

func (f flags) duration(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: envVar(string(f), name)}
}

func (f flags) toggle(name, usage string) cli.Flag {
	return &cli.BoolFlag{Name: name, Usage: usage, Sources: envVar(string(f), name)}
}

// faults collects what is wrong with the settings, to be named at once.
type faults struct{ found []error }

// check notes the fault unless ok.
func (f *faults) check(ok bool, format string, args ...any) {
	if !ok {
		f.found = append(f.found, fmt.Errorf(format, args...))
	}
}

// address checks a host:port with an IP number.
func (f *faults) address(flag, value string) {
	host, _, err := net.SplitHostPort(value)
	f.check(err == nil && net.ParseIP(host) != nil, "--%s %q: want IP:PORT", flag, value)
}

// notNegative checks the named durations of command.
func (f *faults) notNegative(command *cli.Command, names ...string) {
	for _, name := range names {
		f.check(command.Duration(name) >= 0, "--%s %s: want 0 or more", name, command.Duration(name))
	}
}

// err returns all faults as one, nil if there are none.
func (f *faults) err() error {
	if len(f.found) == 0 {
		return nil
	}
	return badInput{errors.Join(f.found...)}
}

// openAppend opens a file to be appended to, and creates it if need be.
func openAppend(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, badInput{fmt.Errorf("open output: %w", err)}
	}
	return file, nil
}
