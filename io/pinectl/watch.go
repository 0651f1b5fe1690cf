package pinectl

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// seen maps each part of the state to what there is to say of it.
type seen map[string]string

// event is one change of a part between two looks.
type event struct {
	Part   string `json:"part"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

func (t *tool) watch(ctx context.Context, command *cli.Command) error {
	interval, count := command.Duration("interval"), command.Int("count")
	if interval <= 0 || count < 0 {
		return usage("want an interval above 0 and a count from 0", "see pinectl watch --help")
	}
	before := seen{}
	for looks := 1; ; looks++ {
		after := t.look(ctx, before)
		for _, event := range changes(before, after) {
			if err := t.tellEvent(event); err != nil {
				return err
			}
		}
		before = after
		if looks == count || !pause(ctx, interval) {
			return nil
		}
	}
}

// look reads the state. What can't be read is named, and what was known of
// it before is kept.
func (t *tool) look(ctx context.Context, before seen) seen {
	after := seen{}
	looks := []struct {
		kind string
		read func(context.Context, seen) error
	}{
		{"state", t.lookState}, {"host", t.lookHosts}, {"target", t.lookTargets}, {"shard", t.lookShards}, {"move", t.lookMoves},
	}
	for _, look := range looks {
		if err := look.read(ctx, after); err != nil {
			after["unavailable "+look.kind] = strings.ReplaceAll(err.Error(), "\n", "; ")
			keep(look.kind, before, after)
		}
	}
	return after
}

func keep(kind string, before, after seen) {
	for part, text := range before {
		if strings.HasPrefix(part, kind+" ") {
			after[part] = text
		}
	}
}

func (t *tool) lookState(ctx context.Context, after seen) error {
	state, err := t.client.State(ctx)
	if err != nil {
		return err
	}
	after["state configuration"] = fmt.Sprintf("version %d", state.ConfigVersion)
	after["state log"] = "reachable " + yes(state.LogReachable)
	after["state members"] = fmt.Sprintf("%d, epoch %d", state.Members, state.MembershipEpoch)
	after["state without owner"] = fmt.Sprintf("%d shards", state.Unowned)
	return nil
}

func (t *tool) lookHosts(ctx context.Context, after seen) error {
	hosts, err := t.client.Hosts(ctx)
	for _, host := range hosts {
		after["host "+host.Incarnation.String()] = hostState(host)
	}
	return err
}

func (t *tool) lookTargets(ctx context.Context, after seen) error {
	targets, err := t.client.Targets(ctx)
	for _, target := range targets {
		text := fmt.Sprintf("leaseholder %s, term %d, health %s", holder(target.Leaseholder), target.Term, or(target.Health, "?"))
		if target.Drain {
			text += ", drains"
		}
		after["target "+target.ID.String()] = text
	}
	return err
}

func (t *tool) lookShards(ctx context.Context, after seen) error {
	shards, err := t.client.Shards(ctx, "")
	for _, shard := range shards {
		after["shard "+shard.ID.String()] = fmt.Sprintf("owner %s, epoch %d", or(shard.Owner, "none"), shard.Epoch)
	}
	return err
}

func (t *tool) lookMoves(ctx context.Context, after seen) error {
	moves, err := t.client.Moves(ctx)
	for _, move := range moves {
		after["move "+move.Shard.String()] = fmt.Sprintf("from %s to %s, waits for %s",
			or(strings.Join(move.From, ", "), "none"), move.To, or(move.Waiting, "nothing"))
	}
	return err
}

// changes lists what differs, by part.
func changes(before, after seen) []event {
	all := seen{}
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

func (t *tool) tellEvent(event event) error {
	if t.options.output == asJSON {
		return json.NewEncoder(t.out).Encode(event)
	}
	_, err := fmt.Fprintf(t.out, "%s: %s -> %s\n", event.Part, or(event.Before, "-"), or(event.After, "-"))
	return err
}
