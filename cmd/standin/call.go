package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"pineturn/core/outcome"
	"pineturn/io/standin/call"
)

// Exit statuses of a single call, by its outcome.
const (
	exitNotRun  = 3
	exitUnknown = 4
)

// fate is the outcome of a single call that was not done.
type fate struct {
	status int
	text   string
}

// Error returns outcome and reason.
func (f fate) Error() string { return f.text }

func callCommand() *cli.Command {
	f := flags("call")
	return &cli.Command{
		Name:        "call",
		Usage:       "send one request, or --count of them, to hosts and record what came of each",
		Description: "Exit status of one request: 0 done, 3 not run, 4 unknown. Of several: 1 if fewer than --min-done were done.",
		Flags: []cli.Flag{
			f.text("host", "127.0.0.11:7000", "hosts to ask in turn, IP:PORT, separated by commas"),
			f.text("service", "", "service that the key belongs to"),
			f.text("key", "", "key, or the stem of --keys keys"),
			f.text("id", "", "request id, or the stem of the ids; made up if empty"),
			f.text("method", "POST", "HTTP method"),
			f.text("path", "/", "path and query"),
			f.text("body", "", "body of the request"),
			f.duration("timeout", 0, "timeout stated to the host, 0 states none"),
			f.duration("patience", 30*time.Second, "time after which an answer is given up"),
			f.toggle("once", "record the request as one that may run at most once"),
			f.text("record", "", "file to which records are appended, one JSON line an attempt"),
			f.number("count", 1, "requests to send"),
			f.fraction("rate", 0, "requests a second, 0 for one after the other"),
			f.number("parallel", 1, "requests in flight at once"),
			f.number("keys", 1, "keys to draw from"),
			f.number("attempts", 1, "attempts at a request that was not run, each at the next host"),
			f.duration("pause", 100*time.Millisecond, "time between attempts"),
			f.number("min-done", 0, "requests done without which several fail"),
			f.number("seed", 1, "seed by which keys are drawn"),
		},
		Action: runCall,
	}
}

func checkCall(command *cli.Command) error {
	var found faults
	for _, host := range strings.Split(command.String("host"), ",") {
		found.address("host", host)
	}
	found.check(command.String("service") != "", "--service: want a name")
	found.check(command.String("key") != "", "--key: want a key")
	found.check(strings.HasPrefix(command.String("path"), "/"), "--path: want one that begins with /")
	found.notNegative(command, "timeout", "patience", "pause")
	for _, name := range []string{"count", "parallel", "keys", "attempts"} {
		found.check(command.Int(name) > 0, "--%s %d: want 1 or more", name, command.Int(name))
	}
	found.check(command.Float("rate") >= 0, "--rate: want 0 or more")
	return found.err()
}

func runCall(ctx context.Context, command *cli.Command) (err error) {
	if err := checkCall(command); err != nil {
		return err
	}
	out := io.Discard
	if path := command.String("record"); path != "" {
		file, openErr := openAppend(path)
		if openErr != nil {
			return openErr
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		out = file
	}
	plan := callPlan(command)
	client := call.New(command.Duration("patience"))
	if plan.Count == 1 && plan.MaxAttempts == 1 {
		return callOnce(ctx, command, client, plan, out)
	}
	totals, err := client.Run(ctx, plan, out)
	fmt.Fprintf(command.Root().Writer, "done %d, not run %d, unknown %d, attempts %d\n",
		totals.Done, totals.NotRun, totals.Unknown, totals.Attempts)
	if totals.FirstUnknown != "" {
		fmt.Fprintln(command.Root().ErrWriter, "unknown:", totals.FirstUnknown)
	}
	if err == nil && totals.Done < command.Int("min-done") {
		err = fmt.Errorf("got %d done, want %d or more", totals.Done, command.Int("min-done"))
	}
	return err
}

func callPlan(command *cli.Command) call.Workload {
	id := command.String("id")
	if id == "" {
		id = fmt.Sprintf("call-%x", time.Now().UnixNano())
	}
	return call.Workload{
		Request: call.Request{
			ID:      id,
			Service: command.String("service"),
			Key:     command.String("key"),
			Method:  command.String("method"),
			Path:    command.String("path"),
			Body:    command.String("body"),
			Timeout: command.Duration("timeout"),
			Once:    command.Bool("once"),
		},
		Hosts:       strings.Split(command.String("host"), ","),
		Count:       command.Int("count"),
		Rate:        command.Float("rate"),
		Parallel:    command.Int("parallel"),
		Keys:        command.Int("keys"),
		MaxAttempts: command.Int("attempts"),
		RetryDelay:  command.Duration("pause"),
		Seed:        uint64(command.Int("seed")),
	}
}

// callOnce sends one request and prints its answer.
func callOnce(ctx context.Context, command *cli.Command, client *call.Client, plan call.Workload, out io.Writer) error {
	request := plan.Request
	request.Host, request.Attempt = plan.Hosts[0], 1
	result := client.Do(ctx, request)
	if err := call.WriteRecord(out, result.Record); err != nil {
		return err
	}
	_, _ = command.Root().Writer.Write(result.Body)
	text := strings.TrimSpace(fmt.Sprintf("%s %s", result.Record.Outcome, result.Record.Reason))
	if result.Err != nil {
		text += ": " + result.Err.Error()
	}
	switch result.Record.Outcome {
	case outcome.Done.String():
		return result.Err
	case outcome.NotRun.String():
		return fate{status: exitNotRun, text: text}
	}
	return fate{status: exitUnknown, text: text}
}
