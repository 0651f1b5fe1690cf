package pinectl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"pineturn/io/operator"
)

// stateCommands are those that only read.
func (t *tool) stateCommands() []*cli.Command {
	return []*cli.Command{
		subcommand("state", "show what one host knows of the whole", nil, t.state),
		subcommand("hosts", "list the hosts", nil, t.hosts),
		subcommand("targets", "list the targets, with leaseholder, grant, load and health", nil, t.targets),
		subcommand("shards", "list the shards and their owners", []string{"[SERVICE]"}, t.shards),
		subcommand("key", "show where the requests of a key go, and why", []string{"SERVICE", "KEY"}, t.key),
		subcommand("moves", "list the shards on their way to a new owner", nil, t.moves),
		subcommand("watch", "print changes of state as they come", nil, t.watch,
			&cli.DurationFlag{Name: "interval", Usage: "time between two looks, such as 1s", Value: DefaultWatchInterval},
			&cli.IntFlag{Name: "count", Usage: "end after `N` looks; 0 for no end"},
		),
	}
}

func (t *tool) state(ctx context.Context, _ *cli.Command) error {
	state, err := t.client.State(ctx)
	if err != nil {
		return err
	}
	ready := yes(state.Ready)
	if !state.Ready {
		ready += ": " + or(state.Reason, "no reason is known")
	}
	table := rows{
		{"host", state.Host.String()},
		{"ready", ready},
		{"configuration version", text(state.ConfigVersion)},
		{"next log offset", text(state.Next)},
		{"log reachable", yes(state.LogReachable)},
		{"members", fmt.Sprintf("%d (epoch %d)", state.Members, state.MembershipEpoch)},
		{"services, targets, shards", fmt.Sprintf("%d, %d, %d", state.Services, state.Targets, state.Shards)},
		{"shards without owner", text(state.Unowned)},
		{"moves", text(state.Moves)},
		{"unavailable", or(strings.Join(state.Unavailable, "; "), "nothing")},
	}
	return t.show(state, table)
}

func (t *tool) hosts(ctx context.Context, _ *cli.Command) error {
	hosts, err := t.client.Hosts(ctx)
	if err != nil {
		return err
	}
	table := rows{{"HOST", "ADDRESS", "DOMAIN", "STATE", "CONFIG", "NEXT", "REMARK"}}
	for _, host := range hosts {
		version, next := "?", "?"
		if host.Reachable {
			version, next = text(host.ConfigVersion), text(host.Next)
		}
		table = append(table, []string{
			host.Incarnation.String(), host.Address, host.Domain, hostState(host), version, next, host.Error,
		})
	}
	return t.show(list(hosts), table)
}

func hostState(host operator.Host) string {
	var parts []string
	for _, part := range []struct {
		holds bool
		name  string
	}{
		{!host.Member, "no member"},
		{!host.Reachable, "unreachable"},
		{host.Suspected, "suspected"},
		{host.Leaving, "leaving"},
		{host.Reachable && !host.Ready, "not ready"},
		{host.Reachable && host.Ready, "ready"},
	} {
		if part.holds {
			parts = append(parts, part.name)
		}
	}
	return strings.Join(parts, ", ")
}

func (t *tool) targets(ctx context.Context, _ *cli.Command) error {
	targets, err := t.client.Targets(ctx)
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
			target.ID.String(), target.Address, target.Domain, holder(target.Leaseholder), text(target.Term),
			text(time.Duration(target.GrantLeftMs) * time.Millisecond), text(target.Shards), busy, or(target.Health, "?"), remark,
		})
	}
	return t.show(list(targets), table)
}

func (t *tool) shards(ctx context.Context, command *cli.Command) error {
	shards, err := t.client.Shards(ctx, command.Args().First())
	if err != nil {
		return err
	}
	table := rows{{"SHARD", "OWNER", "EPOCH", "LEASEHOLDER", "UNSETTLED", "WHY"}}
	for _, shard := range shards {
		table = append(table, shardRow(shard))
	}
	return t.show(list(shards), table)
}

func shardRow(shard operator.Shard) []string {
	return []string{
		shard.ID.String(), or(shard.Owner, "none"), text(shard.Epoch), holder(shard.Leaseholder),
		or(strings.Join(shard.Former, ", "), "-"), shard.Reason,
	}
}

func (t *tool) key(ctx context.Context, command *cli.Command) error {
	key, err := t.client.Key(ctx, command.Args().Get(0), command.Args().Get(1))
	if err != nil {
		return err
	}
	shard := key.Shard
	table := rows{
		{"key", key.Service + " " + key.Key},
		{"shard", shard.ID.String()},
		{"owner", or(shard.Owner, "none")},
		{"epoch", text(shard.Epoch)},
		{"leaseholder", holder(shard.Leaseholder)},
		{"term", text(key.Term)},
		{"unsettled former owners", or(strings.Join(shard.Former, ", "), "none")},
		{"why", or(shard.Reason, "-")},
		{"unavailable", or(key.Unavailable, "no")},
	}
	return t.show(key, table)
}

func (t *tool) moves(ctx context.Context, _ *cli.Command) error {
	moves, err := t.client.Moves(ctx)
	if err != nil {
		return err
	}
	table := rows{{"SHARD", "FROM", "TO", "EPOCH", "WHY", "WAITS FOR"}}
	for _, move := range moves {
		table = append(table, []string{
			move.Shard.String(), or(strings.Join(move.From, ", "), "none"), move.To, text(move.Epoch), move.Reason, move.Waiting,
		})
	}
	return t.show(list(moves), table)
}
