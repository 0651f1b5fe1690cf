// Command pineturnd is the daemon that runs on every host.
package main

import (
	"os"

	"pineturn/io/daemon"
	"pineturn/io/gateway"
)

func main() { os.Exit(daemon.Main(os.Args, gateway.Command())) }
