package gateway

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"pineturn/io/logsink"
	"pineturn/platform"
)

// defaultAdminPort is the default port for metrics and the state dump.
const defaultAdminPort = 9464

// Command returns the command that runs a host on the users' platform.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a host on the platform, with the settings file given by the platform",
		Flags: append([]cli.Flag{&cli.IntFlag{
			Name: "admin-port", Value: defaultAdminPort, Sources: cli.EnvVars("PINETURN_ADMIN_PORT"),
			Usage: "port on the host's address for metrics and state dumps",
		}}, featureFlags()...),
		Action: func(ctx context.Context, command *cli.Command) error {
			features, err := parseFeatures(command)
			if err != nil {
				return err
			}
			return run(ctx, command.Int("admin-port"), features)
		},
		Commands: []*cli.Command{{
			Name: "check", Usage: "validate a settings file of the platform without starting a host", ArgsUsage: "FILE",
			Action: func(_ context.Context, command *cli.Command) error { return check(command.Args().First()) },
		}},
	}
}

func check(path string) error {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	fmt.Printf("settings of host %s in failure domain %s are valid\n", settings.Name, settings.Domain)
	return nil
}

// configureLogging writes all log lines to sink.
func configureLogging(sink *logsink.Sink) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		if err := flags.Set(name, value); err != nil {
			klog.ErrorS(err, "Failed to set a log flag", "flag", name)
		}
	}
	klog.SetOutput(sink)
	klog.CopyStandardLogTo("INFO")
}

func run(ctx context.Context, adminPort int, features features) error {
	sink := logsink.New(os.Stdout)
	configureLogging(sink)
	defer sink.Close()
	defer klog.Flush()
	path, err := platform.SettingsPath()
	if err != nil {
		return errors.Wrap(err, "start")
	}
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	g, err := New(path, sink, adminPort)
	if err != nil {
		return err
	}
	g.useFeatures(features)
	reload := make(chan struct{}, 1)
	go func() {
		for range sighup {
			select {
			case reload <- struct{}{}:
			default:
			}
		}
	}()
	return g.Run(ctx, reload)
}
