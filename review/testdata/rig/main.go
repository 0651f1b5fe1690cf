// Command rig runs one case of the review: a store, backends and clients as stand-ins in this
// process, and the hosts as processes of their own. It exits with 1 if the rule was broken, with 0
// if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit bounds the time that a case takes.
const caseLimit = 110 * time.Second

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("rule was broken")

// cases holds the cases by name.
var cases = map[string]func(*bed) error{
	"idle-clients":  idleClients,
	"early-answer":  earlyAnswer,
	"late-refusal":  lateRefusal,
	"late-release":  lateRelease,
	"foreign-entry": foreignEntry,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, recordPath string) int {
	b, err := newBed(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	time.AfterFunc(caseLimit, func() {
		b.record.printf("case did not end in time")
		b.close()
		os.Exit(2)
	})
	defer b.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		b.close()
		os.Exit(2)
	}()
	err = cases[name](b)
	switch {
	case errors.Is(err, errBroken):
		b.record.printf("result: %v", err)
		fmt.Println(err)
		return 1
	case err != nil:
		b.record.printf("result: could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	b.record.printf("result: the rule held")
	fmt.Println("the rule held")
	return 0
}
