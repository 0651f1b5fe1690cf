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
		Usage: "run a TCP proxy that injects network faults",
		Flags: []cli.Flag{
			f.string("listen", "", "address to accept connections on, IP:PORT"),
			f.string("to", "", "address to forward connections to, IP:PORT"),
			f.string("control", "", "address of the control API (POST /admin/link), IP:PORT"),
			f.duration("delay", 0, "delay of data in each direction"),
		},
		Action: runLink,
	}
}

func runLink(ctx context.Context, command *cli.Command) error {
	var problems inputErrors
	for _, name := range []string{"listen", "to", "control"} {
		problems.address(name, command.String(name))
	}
	problems.nonNegative(command, "delay")
	if err := problems.err(); err != nil {
		return err
	}
	control, err := listen(command.String("control"))
	if err != nil {
		return err
	}
	proxy, err := link.New(command.String("listen"), command.String("to"), link.WithDelay(command.Duration("delay")))
	if err != nil {
		return inputError{err}
	}
	defer proxy.Close()
	return serve(ctx, control, proxy)
}
