package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"pineturn/core/audit"
	"pineturn/io/standin/target"
	"pineturn/io/standin/targetclient"
)

// errRefused is returned if a target refuses a grant or a request.
var errRefused = errors.New("target refused the grant or request")

// clock returns the flag for a target status that was read earlier.
func (f flags) clock() cli.Flag {
	return f.string("clock", "", "file with a target status read earlier; empty reads the status now")
}

func grantCommand() *cli.Command {
	f := flags("grant")
	return &cli.Command{
		Name:      "grant",
		Usage:     "grant shards to a target",
		ArgsUsage: "SERVICE/GROUP/INDEX[/KEY]@EPOCH[!EXCEPT...] ...",
		Flags: []cli.Flag{
			f.string("target", "127.0.0.3:7201", "address of the target, IP:PORT"),
			f.clock(),
			f.int("term", 1, "fencing token of the leaseholder"),
			f.string("holder", "host-1#1", "name of the leaseholder"),
			f.int("set", 1, "version of the set of shards"),
			f.duration("life", time.Minute, "time from the reading of the target's clock to the expiry of the grant"),
			f.bool("renew", "renew the grant of the set instead of replacing the set"),
		},
		Action: runGrant,
	}
}

func runGrant(ctx context.Context, command *cli.Command) error {
	var problems inputErrors
	problems.address("target", command.String("target"))
	shards := make([]audit.Shard, 0, command.Args().Len())
	for _, text := range command.Args().Slice() {
		shard, err := targetclient.ParseShard(text)
		problems.check(err == nil, "%w", err)
		shards = append(shards, shard)
	}
	if err := problems.err(); err != nil {
		return err
	}
	status, err := targetStatus(ctx, command)
	if err != nil {
		return err
	}
	return printResponse(command)(targetclient.SendGrant(ctx, command.String("target"), targetclient.Grant{
		Status:      status,
		Term:        uint64(command.Int("term")),
		Leaseholder: command.String("holder"),
		SetVersion:  uint64(command.Int("set")),
		Duration:    command.Duration("life"),
		Renew:       command.Bool("renew"),
		Shards:      shards,
	}))
}

func sendCommand() *cli.Command {
	f := flags("send")
	return &cli.Command{
		Name:  "send",
		Usage: "send a request to a target, as its leaseholder does",
		Flags: []cli.Flag{
			f.string("target", "127.0.0.3:7201", "address of the target, IP:PORT"),
			f.clock(),
			f.string("id", "r1", "request ID"),
			f.string("key", "k", "key"),
			f.string("shard", "", "shard of the key, SERVICE/GROUP/INDEX[/KEY]"),
			f.int("epoch", 1, "fencing token of the shard"),
			f.int("term", 1, "fencing token of the leaseholder"),
			f.string("path", "/", "path and query"),
			f.duration("deadline", 0, "time from the reading of the target's clock to the deadline, 0 for none"),
			f.bool("end-with-grant", "let the request run until the grant expires"),
		},
		Action: runSend,
	}
}

func runSend(ctx context.Context, command *cli.Command) error {
	var problems inputErrors
	problems.address("target", command.String("target"))
	problems.nonNegative(command, "deadline")
	if err := problems.err(); err != nil {
		return err
	}
	status, err := targetStatus(ctx, command)
	if err != nil {
		return err
	}
	return printResponse(command)(targetclient.SendRequest(ctx, command.String("target"), targetclient.Request{
		Status:       status,
		ID:           command.String("id"),
		Key:          command.String("key"),
		Shard:        command.String("shard"),
		Epoch:        uint64(command.Int("epoch")),
		Term:         uint64(command.Int("term")),
		Path:         command.String("path"),
		Deadline:     command.Duration("deadline"),
		EndWithGrant: command.Bool("end-with-grant"),
	}))
}

// targetStatus returns the target's status, either read from the file in --clock or
// requested from the target.
func targetStatus(ctx context.Context, command *cli.Command) (target.Status, error) {
	path := command.String("clock")
	if path == "" {
		return targetclient.ReadStatus(ctx, command.String("target"))
	}
	var status target.Status
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, &status)
	}
	if err != nil {
		return status, inputError{fmt.Errorf("read --clock: %w", err)}
	}
	return status, nil
}

// printResponse returns a function that prints a target's response. It returns
// errRefused if the status is not 200.
func printResponse(command *cli.Command) func(targetclient.Response, error) error {
	return func(response targetclient.Response, err error) error {
		if err != nil {
			return err
		}
		reason := response.Header.Get("Pineturn-Reason")
		_, _ = fmt.Fprintf(command.Root().Writer, "%d %s %s", response.Status, reason, response.Body)
		if response.Status != 200 {
			return errRefused
		}
		return nil
	}
}
