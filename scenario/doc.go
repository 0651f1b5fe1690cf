// Package scenario runs scripted scenarios against the real programs, as
// separate processes on loopback addresses. The scripts are in testdata, in the
// language of testscript, with these additional commands:
//
//	addr NAME...                sets each NAME to an unused IP:PORT
//	start [-ready URL] NAME PROGRAM ARG...
//	                            starts a process that logs to $WORK/NAME.log,
//	                            and waits until it logs its listen address, or
//	                            until URL responds with status 200
//	cluster COUNT [FLAG...]     starts the log service (address $LOG), the host
//	                            list ($HOSTS) and hosts h1, h2, ... with FLAGs.
//	                            Host 1 has the address $H1 for callers, $PEER1
//	                            for other hosts, $ADMIN1 for operators, and a
//	                            separate link to the log service, link1, with
//	                            its control API at $LINK1
//	host NUMBER [FLAG...]       restarts a host of the cluster
//	target SERVICE NAME [FLAG...]
//	                            starts a target at the address $NAME (in upper
//	                            case) that writes NAME.audit.jsonl
//	fill FILE...                expands $NAME in files with the script's variables
//	crash NAME                  kills the process with SIGKILL
//	shutdown NAME               stops the process with SIGTERM, and asserts exit
//	                            status 0
//	freeze NAME, thaw NAME      suspends the process with SIGSTOP, and resumes it
//	get URL, post URL BODY, put URL BODY
//	                            asserts a 2xx response (with ! another status or
//	                            no response) and prints its body; BODY may be
//	                            @FILE
//	until PATTERN COMMAND ARG...
//	                            repeats get or exec until the command succeeds
//	                            and its output matches
//
// All processes that a script started are killed when it ends.
package scenario
