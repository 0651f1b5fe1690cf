package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"pineturn/io/standin/link"
)

func linkCommand() *cli.Command {
	f := flags("link")
	return &cli.Command{
		Name:  "link",
		Usage: "carry TCP connections; the link can be cut, stalled or silent",
		Flags: []cli.Flag{
			f.text("listen", "", "address to accept connections on, IP:PORT"),
			f.text("to", "", "address to carry them to, IP:PORT"),
			f.text("control", "", "address of the control (POST /admin/link), IP:PORT"),
			f.duration("delay", 0, "time that each byte is under way, one way"),
		},
		Action: runLink,
	}
}

func runLink(ctx context.Context, command *cli.Command) error {
	var found faults
	for _, name := range []string{"listen", "to", "control"} {
		found.address(name, command.String(name))
	}
	found.notNegative(command, "delay")
	if err := found.err(); err != nil {
		return err
	}
	control, err := listen(command.String("control"))
	if err != nil {
		return err
	}
	carrier, err := link.New(command.String("listen"), command.String("to"), link.WithDelay(command.Duration("delay")))
	if err != nil {
		return badInput{err}
	}
	defer carrier.Close()
	return serve(ctx, control, carrier)
}
