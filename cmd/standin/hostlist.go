package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"pineturn/io/standin/hostlist"
)

func hostlistCommand() *cli.Command {
	f := flags("hostlist")
	return &cli.Command{
		Name:  "hostlist",
		Usage: "run the lagging list of hosts",
		Flags: []cli.Flag{
			f.text("listen", "127.0.0.2:7002", "address to listen on, IP:PORT"),
			f.text("file", "", "file with the first list, JSON as the list is answered"),
			f.duration("lag", 0, "how far the answered list lags behind"),
		},
		Action: runHostlist,
	}
}

func runHostlist(ctx context.Context, command *cli.Command) error {
	var found faults
	found.address("listen", command.String("listen"))
	found.notNegative(command, "lag")
	hosts, err := readHosts(command.String("file"))
	found.check(err == nil, "--file: %w", err)
	if err := found.err(); err != nil {
		return err
	}
	listener, err := listen(command.String("listen"))
	if err != nil {
		return err
	}
	service := hostlist.New(hostlist.WithHosts(hosts), hostlist.WithLag(command.Duration("lag")))
	return serve(ctx, listener, service)
}

// readHosts reads a list from a file; no path is an empty list.
func readHosts(path string) ([]hostlist.Host, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read hosts: %w", err)
	}
	var list hostlist.List
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("decode hosts: %w", err)
	}
	return list.Hosts, nil
}
