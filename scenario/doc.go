// Package scenario runs scripted scenarios against the real programs, as
// separate processes on loopback addresses. The scripts are in testdata, in
// the language of testscript with these commands besides:
//
//	addr NAME...                sets each NAME to an unused IP:PORT
//	start [-ready URL] NAME PROGRAM ARG...
//	                            starts a process that logs to $WORK/NAME.log,
//	                            and waits until it says that it listens, or
//	                            until URL answers 200
//	cluster COUNT [FLAG...]     starts the log service (address $LOG), the host
//	                            list ($HOSTS) and hosts h1, h2, ... with FLAGs.
//	                            Host 1 has $H1 for callers, $PEER1 for hosts,
//	                            $ADMIN1 for operators, and a link of its own
//	                            to the log, link1, with its control at $LINK1
//	host NUMBER [FLAG...]       starts a host of the cluster again
//	target SERVICE NAME [FLAG...]
//	                            starts a target at the address $NAME (in upper
//	                            case) that writes NAME.audit.jsonl
//	fill FILE...                replaces $NAME in files by the script's variables
//	crash NAME                  kills the process at once
//	shutdown NAME               asks it to stop, and asserts exit status 0
//	freeze NAME, thaw NAME      stops the process's execution, and continues it
//	get URL, post URL BODY, put URL BODY
//	                            asserts a 2xx answer (with ! another or none)
//	                            and prints its body; BODY may be @FILE
//	until PATTERN COMMAND ARG...
//	                            repeats get, or exec's program, until it
//	                            succeeds and its output matches
//
// All processes that a script started are killed at its end.
package scenario
