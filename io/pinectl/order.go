package pinectl

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"pineturn/core/record"
	"pineturn/io/operator"
)

// orderCommands are those that change something other than files.
func (t *tool) orderCommands() []*cli.Command {
	return []*cli.Command{
		subcommand("drain", "take a target out of use; its shards move away", []string{"SERVICE/TARGET"}, t.drain,
			&cli.BoolFlag{Name: "off", Usage: "take the target into use again"}),
		{
			Name: "members", Usage: "orders for the membership of hosts", OnUsageError: onUsageError, Action: unknownCommand,
			Commands: []*cli.Command{
				subcommand("reset", "start the membership anew with the answering host alone", nil, t.resetMembers,
					&cli.BoolFlag{Name: "confirm", Usage: "vouch that every former member has stopped; two owners of a key are possible otherwise"}),
			},
		},
	}
}

// ordered is the result of an order.
type ordered struct {
	Version uint64 `json:"version"`
}

func (t *tool) drain(ctx context.Context, command *cli.Command) error {
	service, name, ok := strings.Cut(command.Args().First(), "/")
	if !ok || service == "" || name == "" {
		return usage("drain "+command.Args().First()+": want SERVICE/TARGET", "see pinectl targets")
	}
	on := !command.Bool("off")
	order := operator.DrainTarget{Target: record.Target{Service: service, Name: name}, On: on}
	accepted, err := t.client.DrainTarget(ctx, order)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("%s drains (version %d); pinectl moves shows how far it is", order.Target, accepted.Version)
	if !on {
		text = fmt.Sprintf("%s is in use again (version %d)", order.Target, accepted.Version)
	}
	return t.say(ordered{Version: accepted.Version}, text)
}

func (t *tool) resetMembers(ctx context.Context, command *cli.Command) error {
	if !command.Bool("confirm") {
		return usage("members reset: not confirmed", "stop every other host for good, see docs/OPERATIONS.md, then add --confirm")
	}
	accepted, err := t.client.ResetMembers(ctx, operator.ResetMembers{Confirm: true})
	if err != nil {
		return err
	}
	return t.say(ordered{Version: accepted.Version}, fmt.Sprintf("membership starts anew (version %d)", accepted.Version))
}
