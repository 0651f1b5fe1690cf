//go:build review3

// Command rig3 runs the scripts of the third review: hosts as processes, between stand-ins of
// clients, backends and the platform's store on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Results of a script, as exit statuses.
const (
	held = iota
	broken
	couldNotRun
)

var scripts = map[string]func(r *rig) (int, error){
	"grant-copy":    grantCopy,
	"restart-drain": restartDrain,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig3 SCRIPT PINETURND RECORD")
		return couldNotRun
	}
	script, ok := scripts[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown script %q\n", os.Args[1])
		return couldNotRun
	}
	r, err := newRig(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer r.close()
	result, err := script(r)
	if err != nil {
		r.rec.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	return result
}
