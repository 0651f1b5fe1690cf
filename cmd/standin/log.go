package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"pineturn/io/standin/log"
)

func logCommand() *cli.Command {
	f := flags("log")
	return &cli.Command{
		Name:  "log",
		Usage: "run the log service",
		Flags: []cli.Flag{
			f.string("listen", "127.0.0.2:7001", "address to listen on, IP:PORT"),
			f.duration("retain", 0, "age at which records are deleted, 0 for no limit"),
			f.int("retain-records", 0, "maximum number of records in each stream, 0 for no limit"),
			f.float("append-rate", 0, "maximum number of appends per second over all streams, 0 for no limit"),
		},
		Action: runLog,
	}
}

func runLog(ctx context.Context, command *cli.Command) error {
	var problems inputErrors
	problems.address("listen", command.String("listen"))
	problems.nonNegative(command, "retain")
	problems.check(command.Int("retain-records") >= 0, "--retain-records: want 0 or more")
	problems.check(command.Float("append-rate") >= 0, "--append-rate: want 0 or more")
	if err := problems.err(); err != nil {
		return err
	}
	service := log.New(
		log.WithRetain(command.Duration("retain")),
		log.WithRetainRecords(command.Int("retain-records")),
		log.WithAppendRate(command.Float("append-rate")),
	)
	listener, err := listen(command.String("listen"))
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, service.Close)()
	return serve(ctx, listener, service)
}
