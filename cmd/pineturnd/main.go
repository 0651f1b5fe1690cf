// Command pineturnd is the daemon that runs on every host.
package main

import (
	"os"

	"pineturn/io/daemon"
)

func main() { os.Exit(daemon.Main(os.Args)) }
