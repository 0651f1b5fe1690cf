package pinectl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"pineturn/io/operator"
)

// stateCommands returns the commands that show the state of the deployment.
func (inv *invocation) stateCommands() []*cli.Command {
	return []*cli.Command{
		subcommand("state", "show the state of the deployment as one host sees it", nil, inv.state),
		subcommand("hosts", "list the hosts", nil, inv.hosts),
		subcommand("targets", "list the targets, with leaseholder, grant, load and health", nil, inv.targets),
		subcommand("shards", "list the shards and their owners", []string{"[SERVICE]"}, inv.shards),
		subcommand("key", "show the shard, owner and leaseholder of a key, and the reason for the owner", []string{"SERVICE", "KEY"}, inv.key),
		subcommand("moves", "list the shards that are moving to a new owner", nil, inv.moves),
		subcommand("watch", "print changes of the state as they occur", nil, inv.watch,
			&cli.DurationFlag{Name: "interval", Usage: "time between two polls, such as 1s", Value: DefaultWatchInterval},
			&cli.IntFlag{Name: "count", Usage: "stop after `N` polls; 0 for no limit"},
		),
	}
}

func (inv *invocation) state(ctx context.Context, _ *cli.Command) error {
	state, err := inv.client.State(ctx)
	if err != nil {
		return err
	}
	ready := yesNo(state.Ready)
	if !state.Ready {
		ready += ": " + orDefault(state.Reason, "no reason is known")
	}
	table := rows{
		{"host", state.Host.String()},
		{"ready", ready},
		{"configuration version", toString(state.ConfigVersion)},
		{"next log offset", toString(state.Next)},
		{"log reachable", yesNo(state.LogReachable)},
		{"members", fmt.Sprintf("%d (epoch %d)", state.Members, state.MembershipEpoch)},
		{"services, targets, shards", fmt.Sprintf("%d, %d, %d", state.Services, state.Targets, state.Shards)},
		{"shards without owner", toString(state.Unowned)},
		{"moves", toString(state.Moves)},
		{"unavailable", orDefault(strings.Join(state.Unavailable, "; "), "nothing")},
	}
	return inv.printTable(state, table)
}

func (inv *invocation) hosts(ctx context.Context, _ *cli.Command) error {
	hosts, err := inv.client.Hosts(ctx)
	if err != nil {
		return err
	}
	table := rows{{"HOST", "ADDRESS", "DOMAIN", "STATE", "CONFIG", "NEXT", "REMARK"}}
	for _, host := range hosts {
		version, next := "?", "?"
		if host.Reachable {
			version, next = toString(host.ConfigVersion), toString(host.Next)
		}
		table = append(table, []string{
			host.Incarnation.String(), host.Address, host.Domain, hostState(host), version, next, host.Error,
		})
	}
	return inv.printTable(nonNil(hosts), table)
}

func hostState(host operator.Host) string {
	var parts []string
	for _, part := range []struct {
		applies bool
		name    string
	}{
		{!host.Member, "no member"},
		{!host.Reachable, "unreachable"},
		{host.Suspected, "suspected"},
		{host.Leaving, "leaving"},
		{host.Reachable && !host.Ready, "not ready"},
		{host.Reachable && host.Ready, "ready"},
	} {
		if part.applies {
			parts = append(parts, part.name)
		}
	}
	return strings.Join(parts, ", ")
}

func (inv *invocation) targets(ctx context.Context, _ *cli.Command) error {
	targets, err := inv.client.Targets(ctx)
	if err != nil {
		return err
	}
	table := rows{{"TARGET", "ADDRESS", "DOMAIN", "LEASEHOLDER", "TERM", "GRANT", "SHARDS", "BUSY", "HEALTH", "REMARK"}}
	for _, target := range targets {
		remark := target.Unavailable
		if target.Drain {
			remark = strings.TrimSuffix("drains; "+remark, "; ")
		}
		busy := fmt.Sprintf("%d/%d", target.InFlight, target.Slots)
		if target.Health == "" {
			busy = "?"
		}
		table = append(table, []string{
			target.ID.String(), target.Address, target.Domain, leaseholderText(target.Leaseholder), toString(target.Term),
			toString(time.Duration(target.GrantLeftMs) * time.Millisecond), toString(target.Shards), busy, orDefault(target.Health, "?"), remark,
		})
	}
	return inv.printTable(nonNil(targets), table)
}

func (inv *invocation) shards(ctx context.Context, command *cli.Command) error {
	shards, err := inv.client.Shards(ctx, command.Args().First())
	if err != nil {
		return err
	}
	table := rows{{"SHARD", "OWNER", "EPOCH", "LEASEHOLDER", "UNSETTLED", "WHY"}}
	for _, shard := range shards {
		table = append(table, shardRow(shard))
	}
	return inv.printTable(nonNil(shards), table)
}

func shardRow(shard operator.Shard) []string {
	return []string{
		shard.ID.String(), orDefault(shard.Owner, "none"), toString(shard.Epoch), leaseholderText(shard.Leaseholder),
		orDefault(strings.Join(shard.Former, ", "), "-"), shard.Reason,
	}
}

func (inv *invocation) key(ctx context.Context, command *cli.Command) error {
	key, err := inv.client.Key(ctx, command.Args().Get(0), command.Args().Get(1))
	if err != nil {
		return err
	}
	shard := key.Shard
	table := rows{
		{"key", key.Service + " " + key.Key},
		{"shard", shard.ID.String()},
		{"owner", orDefault(shard.Owner, "none")},
		{"epoch", toString(shard.Epoch)},
		{"leaseholder", leaseholderText(shard.Leaseholder)},
		{"term", toString(key.Term)},
		{"unsettled former owners", orDefault(strings.Join(shard.Former, ", "), "none")},
		{"why", orDefault(shard.Reason, "-")},
		{"unavailable", orDefault(key.Unavailable, "no")},
	}
	return inv.printTable(key, table)
}

func (inv *invocation) moves(ctx context.Context, _ *cli.Command) error {
	moves, err := inv.client.Moves(ctx)
	if err != nil {
		return err
	}
	table := rows{{"SHARD", "FROM", "TO", "EPOCH", "WHY", "WAITS FOR"}}
	for _, move := range moves {
		table = append(table, []string{
			move.Shard.String(), orDefault(strings.Join(move.From, ", "), "none"), move.To, toString(move.Epoch), move.Reason, move.Waiting,
		})
	}
	return inv.printTable(nonNil(moves), table)
}
