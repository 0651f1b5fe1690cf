// Command standin runs stand-ins for the programs around pineturn (the log
// service, the host list, targets, a network link with faults), sends requests,
// and checks the audits that targets write.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit statuses.
const (
	exitFailed   = 1
	exitBadInput = 2
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &cli.Command{
		Name:  "standin",
		Usage: "run stand-ins for the platform and for targets, and check their audits",
		Commands: []*cli.Command{
			logCommand(), hostlistCommand(), targetCommand(), linkCommand(), checkCommand(), callCommand(), grantCommand(), sendCommand(), demoCommand(), keyholderCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	for _, command := range root.Commands {
		command.OnUsageError = usageError
	}
	return exitStatus(root.Run(ctx, os.Args))
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return inputError{err}
}

// inputError is an error in flags, arguments or input files. Its exit status is
// exitBadInput.
type inputError struct{ error }

// Unwrap returns the wrapped error.
func (e inputError) Unwrap() error { return e.error }

// exitStatus prints err to standard error and returns its exit status, 0 if err is
// nil.
func exitStatus(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "standin:", err)
	var invalid inputError
	if errors.As(err, &invalid) {
		return exitBadInput
	}
	var failed callError
	if errors.As(err, &failed) {
		return failed.status
	}
	return exitFailed
}
