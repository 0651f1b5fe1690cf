package pinectl

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/core/dump"
	"pineturn/io/operator"
)

// platformCommands read the state of a host on the users' platform from its
// admin port.
func (t *tool) platformCommands() []*cli.Command {
	return []*cli.Command{{
		Name:         "platform",
		Usage:        "show what a host on the users' platform believes; --server is its admin port",
		OnUsageError: onUsageError,
		Action:       unknownCommand,
		Commands: []*cli.Command{
			subcommand("state", "show the host, the ages of its beliefs and the host that leads", nil, t.platformState),
			subcommand("targets", "list the targets as the host believes them", nil, t.platformTargets),
			subcommand("keys", "list the ranges of keys and their owners", []string{"[SERVICE]"}, t.platformKeys),
			subcommand("key", "show the owner of a key", []string{"SERVICE", "KEY"}, t.platformKey),
			subcommand("moves", "list the ranges on their way to a new owner", nil, t.platformMoves),
		},
	}}
}

// readState asks the servers one after the other.
func (t *tool) readState(ctx context.Context) (*dump.State, error) {
	if len(t.client.Servers) == 0 {
		return nil, usage("no server is given", "set --server to the host's admin port, such as http://10.0.0.1:9464")
	}
	ctx, cancel := context.WithTimeout(ctx, t.options.timeout)
	defer cancel()
	var last error
	for _, server := range t.client.Servers {
		state, err := t.stateOf(ctx, server)
		if err == nil {
			return state, nil
		}
		last = err
	}
	return nil, &failure{Status: StatusUnavailable, Code: string(operator.CodeUnavailable), Message: last.Error()}
}

func (t *tool) stateOf(ctx context.Context, server string) (*dump.State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, server+"/state", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s", server)
	}
	resp, err := t.client.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s", server)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answered %s, want the state of a host", server, resp.Status)
	}
	var state dump.State
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return nil, errors.Wrapf(err, "decode the state of %s", server)
	}
	return &state, nil
}

func (t *tool) platformState(ctx context.Context, _ *cli.Command) error {
	state, err := t.readState(ctx)
	if err != nil {
		return err
	}
	table := rows{
		{"host", state.Host + " (" + state.Process + ")"},
		{"up for", fmt.Sprintf("%.1f s", state.UptimeS)},
		{"ready, stopping, leading", yes(state.Ready) + ", " + yes(state.Stopping) + ", " + yes(state.Leading)},
		{"leader", fmt.Sprintf("%s (epoch %d)", or(state.Leader, "none"), state.Epoch)},
		{"configuration version", text(state.Version)},
		{"routes, targets", fmt.Sprintf("%d, %d", len(state.Routes), len(state.Targets))},
	}
	for _, name := range slices.Sorted(maps.Keys(state.AgesS)) {
		table = append(table, []string{"age of " + name, fmt.Sprintf("%.2f s", state.AgesS[name])})
	}
	for _, service := range slices.Sorted(maps.Keys(state.Requests)) {
		table = append(table, []string{"requests in flight to " + service, text(state.Requests[service])})
	}
	return t.show(state, table)
}

func (t *tool) platformTargets(ctx context.Context, _ *cli.Command) error {
	state, err := t.readState(ctx)
	if err != nil {
		return err
	}
	table := rows{{"TARGET", "SERVICE", "ADDRESS", "DOMAIN", "SLOTS", "HERE", "OTHERS", "PACE", "REMARK"}}
	for _, target := range state.Targets {
		var remarks []string
		if target.Draining {
			remarks = append(remarks, "leaves")
		}
		if target.Paused {
			remarks = append(remarks, "paused")
		}
		table = append(table, []string{
			target.ID, target.Service, target.Address, target.Domain, text(target.Slots), text(target.InFlight),
			fmt.Sprintf("%.1f", target.OtherHostsLoad), fmt.Sprintf("%.2f", target.RelativeProcessingTime), strings.Join(remarks, ", "),
		})
	}
	return t.show(list(state.Targets), table)
}

// ownedRange is a range of a service.
type ownedRange struct {
	Service string `json:"service"`
	dump.Range
}

func (r ownedRange) row() []string {
	return []string{
		r.Service, text(r.First), text(r.Last), or(r.Owner, "none"), or(strings.Join(r.Former, ", "), "-"),
	}
}

// showRanges prints the ranges that are wanted.
func (t *tool) showRanges(ctx context.Context, wanted func(ownedRange) bool) error {
	state, err := t.readState(ctx)
	if err != nil {
		return err
	}
	var ranges []ownedRange
	table := rows{{"SERVICE", "FIRST", "LAST", "OWNER", "FORMER"}}
	for _, service := range slices.Sorted(maps.Keys(state.Keys)) {
		for _, r := range state.Keys[service] {
			if owned := (ownedRange{Service: service, Range: r}); wanted(owned) {
				ranges = append(ranges, owned)
				table = append(table, owned.row())
			}
		}
	}
	return t.show(list(ranges), table)
}

func (t *tool) platformKeys(ctx context.Context, command *cli.Command) error {
	service := command.Args().First()
	return t.showRanges(ctx, func(r ownedRange) bool { return service == "" || r.Service == service })
}

func (t *tool) platformMoves(ctx context.Context, _ *cli.Command) error {
	return t.showRanges(ctx, func(r ownedRange) bool { return len(r.Former) > 0 })
}

func (t *tool) platformKey(ctx context.Context, command *cli.Command) error {
	service := command.Args().Get(0)
	key, err := strconv.ParseUint(command.Args().Get(1), 10, 16)
	if err != nil {
		return usage("key "+command.Args().Get(1)+": want a number from 0 to 65535", "see pinectl platform key --help")
	}
	state, err := t.readState(ctx)
	if err != nil {
		return err
	}
	r, ok := state.Find(service, uint16(key))
	if !ok {
		return failed(errors.Newf("service %s has no owner of key %d", service, key))
	}
	return t.show(ownedRange{Service: service, Range: r}, rows{
		{"key", fmt.Sprintf("%s %d", service, key)},
		{"range", fmt.Sprintf("%d to %d", r.First, r.Last)},
		{"owner", or(r.Owner, "none")},
		{"may still have it", or(strings.Join(r.Former, ", "), "none")},
		{"epoch", text(state.Epoch)},
		{"age of owners", fmt.Sprintf("%.2f s", state.AgesS["owners"])},
	})
}
