package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"pineturn/core/clock"
	"pineturn/core/config"
	"pineturn/core/record"
	"pineturn/io/daemon"
	"pineturn/io/operator"
	"pineturn/io/security"
	"pineturn/io/standin/demo"
	"pineturn/io/standin/hostlist"
)

// Name, failure domain and addresses of the demo's host, and the timeout and retry
// delay of its configuration.
const (
	demoHostName      = "host-1"
	demoDomain        = "pos-a"
	demoCallerAddress = "127.0.0.1:7080"
	demoPeerAddress   = "127.0.0.1:7081"
	demoAdminAddress  = "127.0.0.1:7082"
	demoTimeout       = 30 * time.Second
	demoRetryDelay    = 100 * time.Millisecond
)

// demoCommand returns the command that runs a platform, targets and one host in
// one process.
func demoCommand() *cli.Command {
	var folder string
	return &cli.Command{
		Name:  "demo",
		Usage: "run a log service, a host list, sample targets and one host in this process",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "config", Value: "examples/config", Destination: &folder,
			Usage: "folder of the configuration files", Sources: cli.EnvVars("PINETURN_DEMO_CONFIG"),
		}},
		Action: func(ctx context.Context, _ *cli.Command) error { return runDemo(ctx, folder) },
	}
}

// runDemo runs the demo until ctx ends.
func runDemo(ctx context.Context, folder string) error {
	changes, configured, err := readFolder(folder)
	if err != nil {
		return inputError{err}
	}
	platformCtx, stopPlatform := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPlatform()
	platform, err := demo.Start(platformCtx, demo.WithConfig(configured), demo.WithHosts(hostlist.Host{
		Name: demoHostName, Address: demoPeerAddress, Domain: demoDomain, State: "live",
	}))
	if err != nil {
		return fmt.Errorf("start platform: %w", err)
	}
	host, err := startDemoHost(platform.Addresses())
	if err != nil {
		return err
	}
	if err := configureDemo(ctx, changes); err != nil {
		return errors.Join(err, host.Stop())
	}
	<-ctx.Done()
	fmt.Println("stopping")
	err = host.Stop()
	stopPlatform()
	<-platform.Done()
	return errors.Join(err, platform.Err())
}

func startDemoHost(platform demo.Addresses) (*daemon.Daemon, error) {
	settings := daemon.Settings{
		Name: demoHostName, Domain: demoDomain, CallerAddress: demoCallerAddress, PeerAddress: demoPeerAddress, AdminAddress: demoAdminAddress,
		LogAddress: platform.Log, HostListAddress: platform.Hostlist, SnapshotInterval: daemon.DefaultSnapshotInterval,
		StopTimeout: daemon.DefaultStopTimeout, MaxHeaderBytes: daemon.DefaultMaxHeaderBytes,
		Security: security.Settings{Insecure: true},
	}
	host, err := daemon.New(settings, clock.System{})
	if err != nil {
		return nil, fmt.Errorf("create host: %w", err)
	}
	if err := host.Start(); err != nil {
		return nil, fmt.Errorf("start host: %w", err)
	}
	return host, nil
}

// readFolder reads the configuration files in a folder. It returns them as changes
// to publish, and merged.
func readFolder(folder string) ([]record.FileChange, *config.Config, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	if err != nil {
		return nil, nil, fmt.Errorf("list %s: %w", folder, err)
	}
	var (
		changes []record.FileChange
		files   []config.File
	)
	for _, name := range names {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, nil, fmt.Errorf("read configuration: %w", err)
		}
		base := filepath.Base(name)
		changes = append(changes, record.FileChange{Name: base, Content: content})
		files = append(files, config.File{Name: base, Content: content})
	}
	merged, faults := config.Merge(1, files)
	if len(faults) > 0 {
		return nil, nil, fmt.Errorf("%s: %s", folder, faults[0].String())
	}
	return changes, merged, nil
}

// configureDemo publishes the configuration and waits until each shard has an
// owner.
func configureDemo(ctx context.Context, changes []record.FileChange) error {
	client := &operator.Client{Servers: []string{"http://" + demoAdminAddress}, HTTP: http.DefaultClient, Timeout: demoTimeout}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	err := retry(ctx, func() error {
		_, err := client.ChangeFiles(ctx, operator.ChangeFiles{Author: "demo", Changes: changes})
		return err
	})
	if err != nil {
		return fmt.Errorf("publish configuration: %w", err)
	}
	err = retry(ctx, func() error {
		state, err := client.State(ctx)
		if err == nil && (state.Unowned > 0 || state.Shards == 0) {
			err = errors.New("not all shards have an owner")
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("wait for shard owners: %w", err)
	}
	fmt.Println(strings.Join([]string{
		"callers    " + demoCallerAddress,
		"operators  " + demoAdminAddress + "  (pinectl --server http://" + demoAdminAddress + " state)",
		"metrics    http://" + demoAdminAddress + "/metrics, dump http://" + demoAdminAddress + "/debug/state",
		"try        curl -i -H 'Pineturn-Service: coverdesk' -H 'Pineturn-Key: branch-7' http://" + demoCallerAddress + "/cover",
		"Ctrl-C stops",
	}, "\n"))
	return nil
}

// retry calls try every demoRetryDelay until it succeeds or ctx ends.
func retry(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(demoRetryDelay):
		}
	}
}
