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

// errRefused is a target's refusal of an order or request.
var errRefused = errors.New("the target refused")

func (f flags) clock() cli.Flag {
	return f.text("clock", "", "file with an earlier status of the target; empty reads its clock now")
}

func grantCommand() *cli.Command {
	f := flags("grant")
	return &cli.Command{
		Name:      "grant",
		Usage:     "order a target to own shards",
		ArgsUsage: "SERVICE/GROUP/INDEX[/KEY]@EPOCH[!EXCEPT...] ...",
		Flags: []cli.Flag{
			f.text("target", "127.0.0.3:7201", "address of the target, IP:PORT"),
			f.clock(),
			f.number("term", 1, "fencing token of the leaseholder"),
			f.text("holder", "host-1#1", "name of the leaseholder"),
			f.number("set", 1, "version of the set of shards"),
			f.duration("life", time.Minute, "time from the clock's reading to the expiry"),
			f.toggle("renew", "renew the set instead of replacing it"),
		},
		Action: runGrant,
	}
}

func runGrant(ctx context.Context, command *cli.Command) error {
	var found faults
	found.address("target", command.String("target"))
	shards := make([]audit.Shard, 0, command.Args().Len())
	for _, text := range command.Args().Slice() {
		item, err := targetclient.ParseShard(text)
		found.check(err == nil, "%w", err)
		shards = append(shards, item)
	}
	if err := found.err(); err != nil {
		return err
	}
	status, err := readClock(ctx, command)
	if err != nil {
		return err
	}
	return printAnswer(command)(targetclient.SendGrant(ctx, command.String("target"), targetclient.Grant{
		Status:   status,
		Term:     uint64(command.Int("term")),
		Holder:   command.String("holder"),
		Set:      uint64(command.Int("set")),
		Lifetime: command.Duration("life"),
		Renew:    command.Bool("renew"),
		Shards:   shards,
	}))
}

func sendCommand() *cli.Command {
	f := flags("send")
	return &cli.Command{
		Name:  "send",
		Usage: "send a request to a target, as its leaseholder would",
		Flags: []cli.Flag{
			f.text("target", "127.0.0.3:7201", "address of the target, IP:PORT"),
			f.clock(),
			f.text("id", "r1", "request id"),
			f.text("key", "k", "key"),
			f.text("shard", "", "shard of the key, SERVICE/GROUP/INDEX[/KEY]"),
			f.number("epoch", 1, "fencing token of the shard"),
			f.number("term", 1, "fencing token of the leaseholder"),
			f.text("path", "/", "path and query"),
			f.duration("deadline", 0, "time from the clock's reading to the deadline, 0 for none"),
			f.toggle("end-with-grant", "let the request run until the grant lapses"),
		},
		Action: runSend,
	}
}

func runSend(ctx context.Context, command *cli.Command) error {
	var found faults
	found.address("target", command.String("target"))
	found.notNegative(command, "deadline")
	if err := found.err(); err != nil {
		return err
	}
	status, err := readClock(ctx, command)
	if err != nil {
		return err
	}
	return printAnswer(command)(targetclient.SendRequest(ctx, command.String("target"), targetclient.Request{
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

// readClock returns the target's status now, or the one kept in a file.
func readClock(ctx context.Context, command *cli.Command) (target.Status, error) {
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
		return status, badInput{fmt.Errorf("read --clock: %w", err)}
	}
	return status, nil
}

// printAnswer prints what a target answered, and fails for a refusal.
func printAnswer(command *cli.Command) func(targetclient.Response, error) error {
	return func(answer targetclient.Response, err error) error {
		if err != nil {
			return err
		}
		reason := answer.Header.Get("Pineturn-Reason")
		_, _ = fmt.Fprintf(command.Root().Writer, "%d %s %s", answer.Status, reason, answer.Body)
		if answer.Status != 200 {
			return errRefused
		}
		return nil
	}
}
