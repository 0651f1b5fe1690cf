// Command pinectl validates and publishes configuration, and shows and changes
// the state of a deployment.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"pineturn/io/pinectl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := pinectl.Run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
