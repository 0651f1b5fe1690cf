package pinectl

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"pineturn/core/clock"
)

// partStates maps each part of the deployment, such as "shard a/all/1", to a text that
// describes its state.
type partStates map[string]string

// event is the change of one part between two polls.
type event struct {
	Part   string `json:"part"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

func (inv *invocation) watch(ctx context.Context, command *cli.Command) error {
	interval, count := command.Duration("interval"), command.Int("count")
	if interval <= 0 || count < 0 {
		return usageFailure("want an interval above 0 and a count of at least 0", "see pinectl watch --help")
	}
	before := partStates{}
	for polls := 1; ; polls++ {
		after := inv.poll(ctx, before)
		for _, event := range partChanges(before, after) {
			if err := inv.printEvent(event); err != nil {
				return err
			}
		}
		before = after
		if polls == count || !clock.Sleep(ctx, interval) {
			return nil
		}
	}
}

// poll reads the state. A kind of part that can't be read gets an "unavailable"
// entry and keeps its former states.
func (inv *invocation) poll(ctx context.Context, before partStates) partStates {
	after := partStates{}
	kinds := []struct {
		name string
		read func(context.Context, partStates) error
	}{
		{"state", inv.pollState}, {"host", inv.pollHosts}, {"target", inv.pollTargets}, {"shard", inv.pollShards}, {"move", inv.pollMoves},
	}
	for _, kind := range kinds {
		if err := kind.read(ctx, after); err != nil {
			after["unavailable "+kind.name] = strings.ReplaceAll(err.Error(), "\n", "; ")
			copyParts(kind.name, before, after)
		}
	}
	return after
}

// copyParts copies the states of all parts of one kind.
func copyParts(kind string, before, after partStates) {
	for part, text := range before {
		if strings.HasPrefix(part, kind+" ") {
			after[part] = text
		}
	}
}

func (inv *invocation) pollState(ctx context.Context, after partStates) error {
	state, err := inv.client.State(ctx)
	if err != nil {
		return err
	}
	after["state configuration"] = fmt.Sprintf("version %d", state.ConfigVersion)
	after["state log"] = "reachable " + yesNo(state.LogReachable)
	after["state members"] = fmt.Sprintf("%d, epoch %d", state.Members, state.MembershipEpoch)
	after["state without owner"] = fmt.Sprintf("%d shards", state.Unowned)
	return nil
}

func (inv *invocation) pollHosts(ctx context.Context, after partStates) error {
	hosts, err := inv.client.Hosts(ctx)
	for _, host := range hosts {
		after["host "+host.Incarnation.String()] = hostState(host)
	}
	return err
}

func (inv *invocation) pollTargets(ctx context.Context, after partStates) error {
	targets, err := inv.client.Targets(ctx)
	for _, target := range targets {
		text := fmt.Sprintf("leaseholder %s, term %d, health %s", leaseholderText(target.Leaseholder), target.Term, orDefault(target.Health, "?"))
		if target.Drain {
			text += ", drains"
		}
		after["target "+target.ID.String()] = text
	}
	return err
}

func (inv *invocation) pollShards(ctx context.Context, after partStates) error {
	shards, err := inv.client.Shards(ctx, "")
	for _, shard := range shards {
		after["shard "+shard.ID.String()] = fmt.Sprintf("owner %s, epoch %d", orDefault(shard.Owner, "none"), shard.Epoch)
	}
	return err
}

func (inv *invocation) pollMoves(ctx context.Context, after partStates) error {
	moves, err := inv.client.Moves(ctx)
	for _, move := range moves {
		after["move "+move.Shard.String()] = fmt.Sprintf("from %s to %s, waits for %s",
			orDefault(strings.Join(move.From, ", "), "none"), move.To, orDefault(move.Waiting, "nothing"))
	}
	return err
}

// partChanges lists the parts whose state differs, sorted by part.
func partChanges(before, after partStates) []event {
	all := partStates{}
	for part := range before {
		all[part] = ""
	}
	for part := range after {
		all[part] = ""
	}
	var events []event
	for _, part := range sorted(all) {
		if before[part] != after[part] {
			events = append(events, event{Part: part, Before: before[part], After: after[part]})
		}
	}
	return events
}

func (inv *invocation) printEvent(event event) error {
	if inv.options.output == outputJSON {
		return json.NewEncoder(inv.out).Encode(event)
	}
	_, err := fmt.Fprintf(inv.out, "%s: %s -> %s\n", event.Part, orDefault(event.Before, "-"), orDefault(event.After, "-"))
	return err
}
