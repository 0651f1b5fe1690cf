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

// platformCommands returns the commands that read the state of a host on the
// users' platform from its admin port.
func (inv *invocation) platformCommands() []*cli.Command {
	return []*cli.Command{{
		Name:         "platform",
		Usage:        "check configurations, and show the state of a host, on the users' platform; --server is its admin port",
		OnUsageError: onUsageError,
		Action:       unknownCommand,
		Commands: []*cli.Command{
			subcommand("check", "check a configuration before it is sent, and show what it changes", []string{"FILE"}, inv.platformCheck, reviewFlags()...),
			subcommand("losses", "sum up from the logs of hosts why requests were not served", []string{"FILE..."}, inv.platformLosses),
			subcommand("state", "show the host, the age of its data and the leader", nil, inv.platformState),
			subcommand("targets", "list the targets as the host sees them", nil, inv.platformTargets),
			subcommand("keys", "list the ranges of keys and their owners", []string{"[SERVICE]"}, inv.platformKeys),
			subcommand("key", "show the owner of a key", []string{"SERVICE", "KEY"}, inv.platformKey),
			subcommand("moves", "list the ranges that are moving to a new owner", nil, inv.platformMoves),
		},
	}}
}

// readState returns the state of the first server that responds with one. The
// servers are tried in order.
func (inv *invocation) readState(ctx context.Context) (*dump.State, error) {
	if len(inv.client.Servers) == 0 {
		return nil, usageFailure("no server address given", "set --server to the host's admin port, such as http://10.0.0.1:9464")
	}
	ctx, cancel := context.WithTimeout(ctx, inv.options.timeout)
	defer cancel()
	var lastErr error
	for _, server := range inv.client.Servers {
		state, err := inv.fetchState(ctx, server)
		if err == nil {
			return state, nil
		}
		lastErr = err
	}
	return nil, &failure{Status: StatusUnavailable, Code: string(operator.CodeUnavailable), Message: lastErr.Error()}
}

func (inv *invocation) fetchState(ctx context.Context, server string) (*dump.State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, server+"/state", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "query %s", server)
	}
	resp, err := inv.client.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "query %s", server)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s responded with %s, want the state of a host", server, resp.Status)
	}
	var state dump.State
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return nil, errors.Wrapf(err, "decode the state of %s", server)
	}
	return &state, nil
}

func (inv *invocation) platformState(ctx context.Context, _ *cli.Command) error {
	state, err := inv.readState(ctx)
	if err != nil {
		return err
	}
	table := rows{
		{"host", state.Host + " (" + state.Incarnation + ")"},
		{"up for", fmt.Sprintf("%.1f s", state.UptimeS)},
		{"ready, stopping, leading", yesNo(state.Ready) + ", " + yesNo(state.Stopping) + ", " + yesNo(state.Leading)},
		{"leader", fmt.Sprintf("%s (epoch %d)", orDefault(state.Leader, "none"), state.Epoch)},
		{"configuration version", toString(state.Version)},
		{"routes, targets", fmt.Sprintf("%d, %d", len(state.Routes), len(state.Targets))},
	}
	for _, name := range slices.Sorted(maps.Keys(state.AgesS)) {
		table = append(table, []string{"age of " + name, fmt.Sprintf("%.2f s", state.AgesS[name])})
	}
	for _, d := range state.DrainedDomains {
		table = append(table, []string{"drained domain " + d.Domain, fmt.Sprintf("for %.1f s, offset %d, owners of keys for %.1f s more", d.SinceS, d.Offset, d.OwnersForS)})
	}
	for _, service := range slices.Sorted(maps.Keys(state.Requests)) {
		table = append(table, []string{"requests in flight to " + service, toString(state.Requests[service])})
	}
	return inv.printTable(state, table)
}

func (inv *invocation) platformTargets(ctx context.Context, _ *cli.Command) error {
	state, err := inv.readState(ctx)
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
			target.ID, target.Service, target.Address, target.Domain, toString(target.Slots), toString(target.InFlight),
			fmt.Sprintf("%.1f", target.OtherHostsLoad), fmt.Sprintf("%.2f", target.RelativeProcessingTime), strings.Join(remarks, ", "),
		})
	}
	return inv.printTable(nonNil(state.Targets), table)
}

// ownedRange is a range of keys of a service, with its owner.
type ownedRange struct {
	Service string `json:"service"`
	dump.Range
}

func (r ownedRange) row() []string {
	return []string{
		r.Service, toString(r.First), toString(r.Last), orDefault(r.Owner, "none"), orDefault(strings.Join(r.Former, ", "), "-"),
	}
}

// printRanges prints the ranges for which include returns true.
func (inv *invocation) printRanges(ctx context.Context, include func(ownedRange) bool) error {
	state, err := inv.readState(ctx)
	if err != nil {
		return err
	}
	var ranges []ownedRange
	table := rows{{"SERVICE", "FIRST", "LAST", "OWNER", "FORMER"}}
	for _, service := range slices.Sorted(maps.Keys(state.Keys)) {
		for _, r := range state.Keys[service] {
			if owned := (ownedRange{Service: service, Range: r}); include(owned) {
				ranges = append(ranges, owned)
				table = append(table, owned.row())
			}
		}
	}
	return inv.printTable(nonNil(ranges), table)
}

func (inv *invocation) platformKeys(ctx context.Context, command *cli.Command) error {
	service := command.Args().First()
	return inv.printRanges(ctx, func(r ownedRange) bool { return service == "" || r.Service == service })
}

func (inv *invocation) platformMoves(ctx context.Context, _ *cli.Command) error {
	return inv.printRanges(ctx, func(r ownedRange) bool { return len(r.Former) > 0 })
}

func (inv *invocation) platformKey(ctx context.Context, command *cli.Command) error {
	service := command.Args().Get(0)
	key, err := strconv.ParseUint(command.Args().Get(1), 10, 16)
	if err != nil {
		return usageFailure("key "+command.Args().Get(1)+": want a number from 0 to 65535", "see pinectl platform key --help")
	}
	state, err := inv.readState(ctx)
	if err != nil {
		return err
	}
	r, ok := state.Find(service, uint16(key))
	if !ok {
		return commandFailure(errors.Newf("service %s has no owner of key %d", service, key))
	}
	return inv.printTable(ownedRange{Service: service, Range: r}, rows{
		{"key", fmt.Sprintf("%s %d", service, key)},
		{"range", fmt.Sprintf("%d to %d", r.First, r.Last)},
		{"owner", orDefault(r.Owner, "none")},
		{"may still have it", orDefault(strings.Join(r.Former, ", "), "none")},
		{"epoch", toString(state.Epoch)},
		{"age of owners", fmt.Sprintf("%.2f s", state.AgesS["owners"])},
	})
}
