package main

import (
	"context"
	"errors"
	"time"

	"github.com/urfave/cli/v3"

	"pineturn/io/standin/target"
)

func targetCommand() *cli.Command {
	f := flags("target")
	return &cli.Command{
		Name:  "target",
		Usage: "run a target",
		Flags: []cli.Flag{
			f.string("listen", "127.0.0.3:7201", "address to listen on, IP:PORT"),
			f.string("service", "sample", "name of the target's service"),
			f.string("name", "target-1", "name of the target"),
			f.string("audit", "", "file to which the audit is appended as JSON lines"),
			f.bool("checked", "refuse terms lower than the highest received"),
			f.int("slots", 2, "maximum number of requests that run at once"),
			f.int("queue", 0, "maximum number of requests that wait for a slot; further ones are shed"),
			f.int("connections", 100, "maximum number of open connections"),
			f.duration("service-time", 5*time.Millisecond, "time for which a request runs"),
			f.duration("connect-time", 0, "delay until a new connection is read from"),
			f.duration("probe-time", 0, "delay of the response to a probe"),
			f.duration("cold-start", 0, "time for which requests of a newly granted shard run slowly"),
			f.int("cold-requests", 0, "number of first requests of each key that run slowly"),
			f.float("cold-factor", 5, "factor by which slow requests run longer"),
			f.duration("load-lag", 0, "delay of the reported load and health"),
			f.duration("drain-refuse", 5*time.Second, "time after the start of a drain from which requests are refused"),
			f.int("report-bytes", 256<<10, "size of a response to /report in bytes"),
			f.bool("report-idle", "always report no load"),
			f.bool("report-healthy", "always report good health"),
		},
		Action: runTarget,
	}
}

func checkTarget(command *cli.Command) error {
	var problems inputErrors
	problems.address("listen", command.String("listen"))
	problems.check(command.String("service") != "", "--service: want a name")
	problems.check(command.String("name") != "", "--name: want a name")
	problems.nonNegative(command, "service-time", "connect-time", "probe-time", "cold-start", "load-lag", "drain-refuse")
	for _, name := range []string{"slots", "connections"} {
		problems.check(command.Int(name) > 0, "--%s %d: want 1 or more", name, command.Int(name))
	}
	for _, name := range []string{"queue", "cold-requests", "report-bytes"} {
		problems.check(command.Int(name) >= 0, "--%s %d: want 0 or more", name, command.Int(name))
	}
	problems.check(command.Float("cold-factor") >= 1, "--cold-factor: want 1 or more")
	return problems.err()
}

func targetOptions(command *cli.Command) []target.Option {
	return []target.Option{
		target.WithName(command.String("service"), command.String("name")),
		target.WithChecked(command.Bool("checked")),
		target.WithSlots(command.Int("slots")),
		target.WithQueue(command.Int("queue")),
		target.WithConnections(command.Int("connections")),
		target.WithServiceTime(command.Duration("service-time")),
		target.WithConnectTime(command.Duration("connect-time")),
		target.WithProbeTime(command.Duration("probe-time")),
		target.WithColdStart(command.Duration("cold-start"), command.Int("cold-requests"), command.Float("cold-factor")),
		target.WithLoadLag(command.Duration("load-lag")),
		target.WithDrainRefuse(command.Duration("drain-refuse")),
		target.WithReportBytes(command.Int("report-bytes")),
		target.WithReportOverride(target.ReportOverride{
			Idle: command.Bool("report-idle"), Healthy: command.Bool("report-healthy"),
		}),
	}
}

func runTarget(ctx context.Context, command *cli.Command) (err error) {
	if err := checkTarget(command); err != nil {
		return err
	}
	listener, err := listen(command.String("listen"))
	if err != nil {
		return err
	}
	options := targetOptions(command)
	if path := command.String("audit"); path != "" {
		file, openErr := openAppend(path)
		if openErr != nil {
			return openErr
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		options = append(options, target.WithAudit(file))
	}
	service := target.New(options...)
	defer service.Close()
	return serve(ctx, service.Listener(listener), service)
}
