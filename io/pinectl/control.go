package pinectl

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"pineturn/core/record"
	"pineturn/io/operator"
)

// controlCommands returns the commands that change state other than files.
func (inv *invocation) controlCommands() []*cli.Command {
	return []*cli.Command{
		subcommand("drain", "take a target out of use; its shards move to other targets", []string{"SERVICE/TARGET"}, inv.drain,
			&cli.BoolFlag{Name: "off", Usage: "put the target back into use"}),
		{
			Name: "members", Usage: "change the membership of hosts", OnUsageError: onUsageError, Action: unknownCommand,
			Commands: []*cli.Command{
				subcommand("reset", "replace the membership by the responding host alone", nil, inv.resetMembers,
					&cli.BoolFlag{Name: "confirm", Usage: "confirm that every former member has stopped; otherwise a key may have two owners"}),
			},
		},
	}
}

// commandSummary is the result of a command.
type commandSummary struct {
	Version uint64 `json:"version"`
}

func (inv *invocation) drain(ctx context.Context, command *cli.Command) error {
	service, name, ok := strings.Cut(command.Args().First(), "/")
	if !ok || service == "" || name == "" {
		return usageFailure("drain "+command.Args().First()+": want SERVICE/TARGET", "see pinectl targets")
	}
	on := !command.Bool("off")
	request := operator.DrainTarget{Target: record.Target{Service: service, Name: name}, On: on}
	accepted, err := inv.client.DrainTarget(ctx, request)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("%s drains (version %d); pinectl moves shows how far it is", request.Target, accepted.Version)
	if !on {
		text = fmt.Sprintf("%s is in use again (version %d)", request.Target, accepted.Version)
	}
	return inv.printText(commandSummary{Version: accepted.Version}, text)
}

func (inv *invocation) resetMembers(ctx context.Context, command *cli.Command) error {
	if !command.Bool("confirm") {
		return usageFailure("members reset: not confirmed", "stop every other host for good, see docs/OPERATIONS.md, then add --confirm")
	}
	accepted, err := inv.client.ResetMembers(ctx, operator.ResetMembers{Confirm: true})
	if err != nil {
		return err
	}
	return inv.printText(commandSummary{Version: accepted.Version}, fmt.Sprintf("membership starts anew (version %d)", accepted.Version))
}
