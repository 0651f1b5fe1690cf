// Command pinesoak runs hosts, targets and the stand-in for the metadata store on
// one machine under random faults, and checks the guarantees to callers and
// targets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"pineturn/io/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := soak.App().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "pinesoak:", err)
		os.Exit(1)
	}
}
