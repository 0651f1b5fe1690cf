// Command standin runs small stand-ins for what surrounds pineturn (the log
// service, the host list, targets, a faulty link), and checks their audits.
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
		Usage: "stand-ins for the platform and for targets, and the check of their audits",
		Commands: []*cli.Command{
			logCommand(), hostlistCommand(), targetCommand(), linkCommand(), checkCommand(), callCommand(), grantCommand(), sendCommand(), demoCommand(), keyholderCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	for _, command := range root.Commands {
		command.OnUsageError = usageError
	}
	return status(root.Run(ctx, os.Args))
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return badInput{err}
}

// badInput is a fault of settings or input, as opposed to one met at work.
type badInput struct{ error }

// Unwrap returns the fault itself.
func (b badInput) Unwrap() error { return b.error }

// status reports err and returns the exit status that stands for it.
func status(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "standin:", err)
	var bad badInput
	if errors.As(err, &bad) {
		return exitBadInput
	}
	var ended fate
	if errors.As(err, &ended) {
		return ended.status
	}
	return exitFailed
}
