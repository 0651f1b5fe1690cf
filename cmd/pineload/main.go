// Command pineload sends a seeded open-loop workload to pineturn or directly to
// targets, and reports the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"pineturn/io/load"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := load.App().Run(ctx, os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pineload:", err)
	}
	return load.ExitStatus(err)
}
