package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/io/standin/keyholder"
	"pineturn/io/standin/server"
)

func keyholderCommand() *cli.Command {
	f := flags("keyholder")
	return &cli.Command{
		Name:  "keyholder",
		Usage: "run a target of the users' platform that prints its audit as JSON lines",
		Flags: []cli.Flag{
			f.string("listen", "127.0.0.3:7301", "address to listen on, IP:PORT"),
			f.string("id", "target-1", "ID of the target"),
			f.string("service", "sample", "name of the target's service"),
			f.int("slots", 2, "maximum number of requests that run at once"),
			f.int("queue", 6, "maximum number of requests that wait for a slot; further ones are refused"),
			f.duration("work", 20*time.Millisecond, "time for which a request runs"),
			f.float("lost", 0, "fraction of responses dropped by closing their connection"),
			f.float("extra", 0, "fraction of responses followed by an unsolicited response"),
			f.float("refusal-ids", 0, "fraction of refusals that bear the id of their request"),
			f.float("invalid", 0, "fraction of responses in place of which the target sends bytes that are none"),
			f.float("copies", 0, "fraction of requests on a connection that has carried a refusal which get that refusal once more"),
			f.string("limit", "3", "limit of requests a second that the target names from SIGUSR1 until SIGUSR2"),
			f.string("rest", "2", "seconds of rest for which the target, which then refuses all requests, asks from one SIGIO until the next"),
			f.bool("keyed", "run requests only for keys that the target owns"),
		},
		Action: runKeyholder,
	}
}

func runKeyholder(ctx context.Context, command *cli.Command) error {
	var problems inputErrors
	problems.address("listen", command.String("listen"))
	problems.check(command.Int("slots") > 0, "--slots: want 1 or more")
	problems.check(command.Int("queue") >= 0, "--queue: want 0 or more")
	problems.nonNegative(command, "work")
	if err := problems.err(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGHUP, syscall.SIGWINCH, syscall.SIGIO)
	defer signal.Stop(signals)
	listener, err := listen(command.String("listen"))
	if err != nil {
		return err
	}
	audit := &keyholder.Audit{OnEvent: printEvent}
	target := keyholder.New(keyholder.Options{
		ID: command.String("id"), Service: command.String("service"), Address: command.String("listen"),
		Slots: command.Int("slots"), Queue: command.Int("queue"), ServiceTime: command.Duration("work"), Keyed: command.Bool("keyed"),
		LostFraction: command.Float("lost"), ExtraFraction: command.Float("extra"), CopyFraction: command.Float("copies"),
		RefusalIDFraction: command.Float("refusal-ids"), InvalidFraction: command.Float("invalid"),
	}, audit)
	go handleSignals(ctx, signals, target, command.String("limit"), command.String("rest"))
	return await(ctx, server.NewWithContext(listener, target.Handler(), keyholder.ConnContext))
}

// handleSignals makes a target name a limit from SIGUSR1 until SIGUSR2, say that it leaves from
// SIGWINCH on, and lose all responses, or ask for a rest, from one SIGHUP or SIGIO until the
// next.
func handleSignals(ctx context.Context, signals <-chan os.Signal, target *keyholder.Target, limit, rest string) {
	var fault keyholder.Fault
	resting := false
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			switch s {
			case syscall.SIGUSR1:
				target.NameLimit(limit)
			case syscall.SIGUSR2:
				target.NameLimit("")
			case syscall.SIGWINCH:
				target.SetLeaving(true)
			case syscall.SIGIO:
				resting = !resting
				target.AskRest(map[bool]string{true: rest}[resting])
			default:
				fault.Lose = !fault.Lose
				target.SetFault(fault)
			}
		}
	}
}

// printEvent writes an event as one JSON line in a single write, so that no event
// is lost or truncated when the process is killed.
func printEvent(event keyholder.Event) {
	line, err := json.Marshal(event)
	if err == nil {
		_, err = os.Stdout.Write(append(line, '\n'))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, errors.Wrap(err, "write event"))
	}
}
