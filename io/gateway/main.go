package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/platform"
)

// Command returns the command that runs a host on the users' platform.
func Command() *cli.Command {
	return &cli.Command{
		Name:   "platform",
		Usage:  "run a host on the platform, with the settings file that the platform names",
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx) },
	}
}

func run(ctx context.Context) error {
	path, err := platform.SettingsPath()
	if err != nil {
		return errors.Wrap(err, "start")
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	g, err := New(path)
	if err != nil {
		return err
	}
	reload := make(chan struct{}, 1)
	go func() {
		for range hangups {
			select {
			case reload <- struct{}{}:
			default:
			}
		}
	}()
	return g.Run(ctx, reload)
}
