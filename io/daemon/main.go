package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"
	ossignal "os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"pineturn/core/clock"
)

// Exit statuses of pineturnd.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Main runs pineturnd with the command line args and returns the exit status: 0
// after a graceful stop, 1 if the daemon failed to start or to stop gracefully,
// 2 for invalid settings. Commands are subcommands that run instead of the daemon.
func Main(args []string, commands ...*cli.Command) int {
	var settings Settings
	status := exitOK
	command := &cli.Command{
		Name:     "pineturnd",
		Usage:    "route requests to the targets that own their keys",
		Flags:    append(settings.Flags(), verbosityFlag()),
		Commands: commands,
		Action: func(ctx context.Context, _ *cli.Command) error {
			status = run(ctx, settings)
			return nil
		},
	}
	if err := command.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	klog.Flush()
	return status
}

// verbosityFlag returns the flag for the verbosity level of klog.
func verbosityFlag() cli.Flag {
	levels := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(levels)
	return &cli.IntFlag{
		Name: "verbosity", Usage: "verbosity level of the log; 0 logs only state changes",
		Sources: cli.EnvVars("PINETURN_VERBOSITY"),
		Action: func(_ context.Context, _ *cli.Command, level int) error {
			return levels.Set("v", fmt.Sprint(level))
		},
	}
}

// run checks the settings and runs a daemon until SIGTERM, SIGINT or a request of
// the platform to leave. It returns the exit status.
func run(ctx context.Context, settings Settings) int {
	if errs := settings.Check(); len(errs) > 0 {
		for _, err := range errs {
			fmt.Fprintln(os.Stderr, err)
		}
		return exitSettings
	}
	ctx, cancel := ossignal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	daemon, err := New(settings, clock.System{})
	if err != nil {
		klog.ErrorS(err, "Failed to start")
		return exitFailed
	}
	if err := daemon.Start(); err != nil {
		klog.ErrorS(err, "Failed to start")
		return exitFailed
	}
	fmt.Println("listening", settings.CallerAddress)
	select {
	case <-ctx.Done():
	case <-daemon.LeaveRequested():
	}
	if err := daemon.Stop(); err != nil {
		klog.ErrorS(err, "Failed to stop gracefully")
		return exitFailed
	}
	return exitOK
}
