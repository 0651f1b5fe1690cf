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

	"pineturn/core/feature"
	"pineturn/io/logsink"
	"pineturn/platform"
)

// defaultAdminPort is the default port for metrics and the state dump.
const defaultAdminPort = 9464

// minQueueHosts is the number of hosts in service from which on the queue of an owner is at one
// host by default. Fewer hosts each see enough of an owner's requests to know how full it is, and
// are spared the hop.
const minQueueHosts = 24

// minLearningHosts is the number of hosts in service from which on choices follow what was learned
// of each target by default. Fewer hosts know of most requests at a target by their own sends.
const minLearningHosts = 24

// switches are the settings of the features that an operator may switch.
type switches struct {
	ownerQueue, learnedConcurrency feature.Setting
}

func parseSwitches(command *cli.Command) (switches, error) {
	ownerQueue, err := feature.Parse(command.String("owner-queue"))
	if err != nil {
		return switches{}, errors.Wrap(err, "owner queue")
	}
	learned, err := feature.Parse(command.String("learned-concurrency"))
	if err != nil {
		return switches{}, errors.Wrap(err, "learned concurrency")
	}
	return switches{ownerQueue: ownerQueue, learnedConcurrency: learned}, nil
}

// Command returns the command that runs a host on the users' platform.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a host on the platform, with the settings file given by the platform",
		Flags: []cli.Flag{&cli.IntFlag{
			Name: "admin-port", Value: defaultAdminPort, Sources: cli.EnvVars("PINETURN_ADMIN_PORT"),
			Usage: "port on the host's address for metrics and state dumps",
		}, &cli.StringFlag{
			Name: "owner-queue", Value: string(feature.Auto), Sources: cli.EnvVars("PINETURN_OWNER_QUEUE"),
			Usage: fmt.Sprintf("relay keyed requests to the host that holds the queue of their owner: on, off, or auto, from %d hosts on", minQueueHosts),
		}, &cli.StringFlag{
			Name: "learned-concurrency", Value: string(feature.Auto), Sources: cli.EnvVars("PINETURN_LEARNED_CONCURRENCY"),
			Usage: fmt.Sprintf("send requests by what was learned of each target: on, off, or auto, from %d hosts on", minLearningHosts),
		}},
		Action: func(ctx context.Context, command *cli.Command) error {
			features, err := parseSwitches(command)
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

func run(ctx context.Context, adminPort int, features switches) error {
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
	g.useOwnerQueue(features.ownerQueue)
	g.useLearnedConcurrency(features.learnedConcurrency)
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
