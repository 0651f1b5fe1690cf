package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/io/standin/keyholder"
)

func keyholderCommand() *cli.Command {
	f := flags("keyholder")
	return &cli.Command{
		Name:  "keyholder",
		Usage: "run a target of the users' platform, which prints what it does as JSON lines",
		Flags: []cli.Flag{
			f.text("listen", "127.0.0.3:7301", "address to listen on, IP:PORT"),
			f.text("id", "target-1", "id of the target"),
			f.text("service", "sample", "name of the target's service"),
			f.number("slots", 2, "requests that run at once"),
			f.number("queue", 6, "requests that wait for a slot before more are shed"),
			f.duration("work", 20*time.Millisecond, "time that a request runs"),
			f.fraction("lost", 0, "part of answers that are lost with their connection"),
			f.fraction("extra", 0, "part of answers that are followed by one that nobody asked for"),
			f.toggle("keyed", "run requests for keys that the target holds only"),
		},
		Action: runKeyholder,
	}
}

func runKeyholder(ctx context.Context, command *cli.Command) error {
	var found faults
	found.address("listen", command.String("listen"))
	found.check(command.Int("slots") > 0, "--slots: want 1 or more")
	found.check(command.Int("queue") >= 0, "--queue: want 0 or more")
	found.notNegative(command, "work")
	if err := found.err(); err != nil {
		return err
	}
	listener, err := listen(command.String("listen"))
	if err != nil {
		return err
	}
	audit := &keyholder.Audit{OnEvent: printEvent}
	target := keyholder.New(keyholder.Options{
		ID: command.String("id"), Service: command.String("service"), Address: command.String("listen"),
		Slots: command.Int("slots"), Queue: command.Int("queue"), ServiceTime: command.Duration("work"), Keyed: command.Bool("keyed"),
		LostFraction: command.Float("lost"), ExtraFraction: command.Float("extra"),
	}, audit)
	return serve(ctx, listener, target.Handler())
}

// printEvent writes an event in one call, so that none is lost or torn when the
// process is killed.
func printEvent(event keyholder.Event) {
	line, err := json.Marshal(event)
	if err == nil {
		_, err = os.Stdout.Write(append(line, '\n'))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, errors.Wrap(err, "write event"))
	}
}
