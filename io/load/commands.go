package load

import (
	"context"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/core/clock"
	"pineturn/core/report"
)

// Exit statuses of pineload.
const (
	// ExitFailed is the status of a command that failed while running.
	ExitFailed = 1
	// ExitUsage is the status of a command with invalid settings.
	ExitUsage = 2
)

// App returns the command line of pineload.
func App() *cli.Command {
	return &cli.Command{
		Name:  "pineload",
		Usage: "sends a seeded open-loop workload and reports the results",
		Commands: []*cli.Command{
			runCommand(), directCommand(), reportCommand(), compareCommand(), capacityCommand(),
		},
		// The default handler would exit the process; the caller of Run derives
		// the exit status from the error instead.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// ExitStatus returns the exit status of pineload for the error that the command
// line returned.
func ExitStatus(err error) int {
	var coder cli.ExitCoder
	switch {
	case err == nil:
		return 0
	case errors.As(err, &coder):
		return coder.ExitCode()
	}
	return ExitFailed
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:   "run",
		Usage:  "sends a workload to pineturn hosts",
		Flags:  append(commonFlags(), listFlag(flagHosts, "hosts, host:port each; each attempt is sent to a random host")),
		Action: runEntry,
	}
}

func directCommand() *cli.Command {
	return &cli.Command{
		Name:   "direct",
		Usage:  "sends a workload directly to targets, without pineturn, as a baseline; no host may own keys of the targets",
		Flags:  append(commonFlags(), listFlag(flagTargets, "targets, service=host:port each")),
		Action: runDirect,
	}
}

func runEntry(ctx context.Context, command *cli.Command) error {
	flags := settings{command: command}
	options := flags.options()
	options.Hosts = flags.hosts()
	if err := flags.err(); err != nil {
		return err
	}
	sender := NewHostSender(options.Hosts, options.Callers, options.Timeout)
	defer sender.Close()
	return execute(ctx, command, "run", options, sender.Send)
}

func runDirect(ctx context.Context, command *cli.Command) error {
	flags := settings{command: command}
	options := flags.options()
	targets := flags.targets()
	if err := flags.err(); err != nil {
		return err
	}
	options.Targets = map[string]int{}
	for service, addresses := range targets {
		options.Targets[service] = len(addresses)
	}
	direct, err := NewDirect(ctx, targets, options.Callers, options.Timeout, clock.System{})
	if err != nil {
		return errors.Wrap(err, "start direct mode")
	}
	defer direct.Close()
	return execute(ctx, command, "direct", options, direct.Send)
}

// execute performs a load run and writes its record, report and plot.
func execute(ctx context.Context, command *cli.Command, mode string, options Options, send Send) error {
	record, err := openRecord(command.String(flagOut))
	if err != nil {
		return err
	}
	defer func() { _ = record.Close() }()
	info := report.Info{
		Mode: mode, Workload: options.Workload.Name(), Seed: options.Schedule.Seed, Rate: options.Schedule.Rate,
		DelayMs: options.Delay.Seconds() * 1000, Targets: options.Targets,
	}
	clk := clock.System{}
	sink := NewSink(info, clk.Now(), record)
	if !command.Bool(flagQuiet) {
		progress := NewProgress(sink, clk, command.Root().ErrWriter)
		defer progress.Close()
	}
	if err := NewRun(options, send, clk, sink).Do(ctx); err != nil {
		return err
	}
	if err := sink.Flush(); err != nil {
		return err
	}
	return writeReport(command, sink.Collector().Report())
}

func openRecord(name string) (io.WriteCloser, error) {
	if name == "" {
		return os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	}
	file, err := os.Create(name + ".record.jsonl")
	return file, errors.Wrap(err, "create record")
}

// writeReport writes a report to the files given by the settings and as text to
// the output of the command.
func writeReport(command *cli.Command, result *report.Report) error {
	if name := command.String(flagOut); name != "" {
		if err := writeFile(name+".report.json", result.WriteJSON); err != nil {
			return err
		}
	}
	if name := command.String(flagPlot); name != "" {
		write := result.WriteSVG
		if filepath.Ext(name) == ".png" {
			write = result.WritePNG
		}
		if err := writeFile(name, write); err != nil {
			return err
		}
	}
	return result.WriteText(command.Root().Writer)
}

func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrapf(file.Close(), "close %s", name)
}
