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

// Exit statuses of a single request that was not done, by outcome.
const (
	exitNotRun  = 3
	exitUnknown = 4
)

// callError reports a single request whose outcome is not done, with its exit
// status.
type callError struct {
	status int
	text   string
}

// Error returns the outcome and the reason.
func (f callError) Error() string { return f.text }

func callCommand() *cli.Command {
	f := flags("call")
	return &cli.Command{
		Name:        "call",
		Usage:       "send one or more requests to hosts and record the outcome of each attempt",
		Description: "Exit status of one request: 0 done, 3 not run, 4 unknown. Exit status of several: 1 if fewer than --min-done were done.",
		Flags: []cli.Flag{
			f.string("host", "127.0.0.11:7000", "hosts, IP:PORT separated by commas; requests and their attempts go to them in turn"),
			f.string("service", "", "service that the key belongs to"),
			f.string("key", "", "key, or the prefix of the --keys keys"),
			f.string("id", "", "request ID, or the prefix of the request IDs; generated if empty"),
			f.string("method", "POST", "HTTP method"),
			f.string("path", "/", "path and query"),
			f.string("body", "", "request body"),
			f.duration("timeout", 0, "timeout sent to the host, 0 sends none"),
			f.duration("patience", 30*time.Second, "client timeout of each attempt"),
			f.bool("once", "mark the request in the record as one that may run at most once"),
			f.string("record", "", "file to which records are appended, one JSON line per attempt"),
			f.int("count", 1, "number of requests to send"),
			f.float("rate", 0, "requests per second, 0 for no limit"),
			f.int("parallel", 1, "maximum number of requests in flight"),
			f.int("keys", 1, "number of keys to choose from at random"),
			f.int("attempts", 1, "maximum attempts per request; only a request that was not run is retried, at the next host"),
			f.duration("pause", 100*time.Millisecond, "time between attempts"),
			f.int("min-done", 0, "minimum number of requests done when several are sent; fewer fail the command"),
			f.int("seed", 1, "seed of the random choice of keys"),
		},
		Action: runCall,
	}
}

func checkCall(command *cli.Command) error {
	var problems inputErrors
	for _, host := range strings.Split(command.String("host"), ",") {
		problems.address("host", host)
	}
	problems.check(command.String("service") != "", "--service: want a name")
	problems.check(command.String("key") != "", "--key: want a key")
	problems.check(strings.HasPrefix(command.String("path"), "/"), "--path: want a path that begins with /")
	problems.nonNegative(command, "timeout", "patience", "pause")
	for _, name := range []string{"count", "parallel", "keys", "attempts"} {
		problems.check(command.Int(name) > 0, "--%s %d: want 1 or more", name, command.Int(name))
	}
	problems.check(command.Float("rate") >= 0, "--rate: want 0 or more")
	return problems.err()
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
	workload := callWorkload(command)
	client := call.New(command.Duration("patience"))
	if workload.Count == 1 && workload.MaxAttempts == 1 {
		return callOnce(ctx, command, client, workload, out)
	}
	totals, err := client.Run(ctx, workload, out)
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

func callWorkload(command *cli.Command) call.Workload {
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

// callOnce sends one request and prints the response body.
func callOnce(ctx context.Context, command *cli.Command, client *call.Client, workload call.Workload, out io.Writer) error {
	request := workload.Request
	request.Host, request.Attempt = workload.Hosts[0], 1
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
		return callError{status: exitNotRun, text: text}
	}
	return callError{status: exitUnknown, text: text}
}
