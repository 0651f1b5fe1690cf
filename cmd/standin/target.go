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
			f.text("listen", "127.0.0.3:7201", "address to listen on, IP:PORT"),
			f.text("service", "sample", "name of the target's service"),
			f.text("name", "target-1", "name of the target"),
			f.text("audit", "", "file to which the audit's JSON lines are appended"),
			f.toggle("checked", "refuse terms lower than the highest seen"),
			f.number("slots", 2, "requests that run at once"),
			f.number("queue", 0, "requests that wait for a slot before more are shed"),
			f.number("connections", 100, "connections open at once"),
			f.duration("service-time", 5*time.Millisecond, "time that a request runs"),
			f.duration("connect-time", 0, "time until a new connection is usable"),
			f.duration("probe-time", 0, "time that the answer to a probe takes"),
			f.duration("cold-start", 0, "time for which a newly granted shard is slow"),
			f.number("cold-requests", 0, "first requests of each key that are slow"),
			f.fraction("cold-factor", 5, "how many times longer a request runs while cold"),
			f.duration("load-lag", 0, "how far the reported load and health lag behind"),
			f.duration("drain-refuse", 5*time.Second, "time after the drain began from which requests are refused"),
			f.number("report-bytes", 256<<10, "bytes of an answer to /report"),
			f.toggle("report-idle", "report no load, whatever is true"),
			f.toggle("report-healthy", "report good health, whatever is true"),
		},
		Action: runTarget,
	}
}

func checkTarget(command *cli.Command) error {
	var found faults
	found.address("listen", command.String("listen"))
	found.check(command.String("service") != "", "--service: want a name")
	found.check(command.String("name") != "", "--name: want a name")
	found.notNegative(command, "service-time", "connect-time", "probe-time", "cold-start", "load-lag", "drain-refuse")
	for _, name := range []string{"slots", "connections"} {
		found.check(command.Int(name) > 0, "--%s %d: want 1 or more", name, command.Int(name))
	}
	for _, name := range []string{"queue", "cold-requests", "report-bytes"} {
		found.check(command.Int(name) >= 0, "--%s %d: want 0 or more", name, command.Int(name))
	}
	found.check(command.Float("cold-factor") >= 1, "--cold-factor: want 1 or more")
	return found.err()
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
