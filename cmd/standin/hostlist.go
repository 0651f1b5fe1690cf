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
		Usage: "run the host list",
		Flags: []cli.Flag{
			f.string("listen", "127.0.0.2:7002", "address to listen on, IP:PORT"),
			f.string("file", "", "file with the initial list, in the JSON format of the response"),
			f.duration("lag", 0, "delay before a change appears in the response"),
		},
		Action: runHostlist,
	}
}

func runHostlist(ctx context.Context, command *cli.Command) error {
	var problems inputErrors
	problems.address("listen", command.String("listen"))
	problems.nonNegative(command, "lag")
	hosts, err := readHosts(command.String("file"))
	problems.check(err == nil, "--file: %w", err)
	if err := problems.err(); err != nil {
		return err
	}
	listener, err := listen(command.String("listen"))
	if err != nil {
		return err
	}
	service := hostlist.New(hostlist.WithHosts(hosts), hostlist.WithLag(command.Duration("lag")))
	return serve(ctx, listener, service)
}

// readHosts reads a host list from a file. An empty path gives an empty list.
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
