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

// The exit statuses of pineturnd.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Main runs pineturnd with its command line and returns its exit status: 0
// after a graceful stop, 1 when it could not run or stop, 2 for wrong settings.
// Further commands run other things than the daemon.
func Main(args []string, others ...*cli.Command) int {
	var settings Settings
	status := exitOK
	command := &cli.Command{
		Name:     "pineturnd",
		Usage:    "route requests to the targets that own their keys",
		Flags:    append(settings.Flags(), verbosity()),
		Commands: others,
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

// verbosity is the flag of klog's level of detail.
func verbosity() cli.Flag {
	levels := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(levels)
	return &cli.IntFlag{
		Name: "verbosity", Usage: "level of detail of the log, 0 for changes of state alone",
		Sources: cli.EnvVars("PINETURN_VERBOSITY"),
		Action: func(_ context.Context, _ *cli.Command, level int) error {
			return levels.Set("v", fmt.Sprint(level))
		},
	}
}

// run checks the settings and runs a daemon until it is told to stop.
func run(ctx context.Context, settings Settings) int {
	if faults := settings.Check(); len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(os.Stderr, fault)
		}
		return exitSettings
	}
	ctx, cancel := ossignal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	daemon, err := New(settings, clock.System{})
	if err != nil {
		klog.ErrorS(err, "Could not start")
		return exitFailed
	}
	if err := daemon.Start(); err != nil {
		klog.ErrorS(err, "Could not start")
		return exitFailed
	}
	fmt.Println("listening", settings.CallerAddress)
	select {
	case <-ctx.Done():
	case <-daemon.Leaving():
	}
	if err := daemon.Stop(); err != nil {
		klog.ErrorS(err, "The stop was cut short")
		return exitFailed
	}
	return exitOK
}
