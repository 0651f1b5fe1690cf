package scenario

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"pineturn/io/standin/hostlist"
)

// domains are the failure domains to which hosts are assigned round-robin.
var domains = []string{"pos-a", "pos-b", "chag-a", "arima-a"}

// cluster starts the log service, the host list and hosts, each with a separate
// link to the log service.
func cluster(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: cluster COUNT [FLAG...]")
	}
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	addr(ts, false, []string{"LOG", "HOSTS"})
	startProcess(ts, "log", "", "standin", "log", "--listen", ts.Getenv("LOG"))
	var list hostlist.List
	for i := range count {
		number := strconv.Itoa(i + 1)
		addr(ts, false, []string{"H" + number, "PEER" + number, "ADMIN" + number, "VIA" + number, "LINK" + number})
		list.Hosts = append(list.Hosts, hostlist.Host{
			Name: "host-" + number, Address: ts.Getenv("PEER" + number), Domain: domains[i%len(domains)], State: "live",
		})
	}
	data, err := json.Marshal(list)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("hosts.json"), data, 0o644))
	startProcess(ts, "hosts", "", "standin", "hostlist", "--listen", ts.Getenv("HOSTS"), "--file", "hosts.json")
	for i := range list.Hosts {
		number := strconv.Itoa(i + 1)
		startProcess(ts, "link"+number, "", "standin", "link",
			"--listen", ts.Getenv("VIA"+number), "--to", ts.Getenv("LOG"), "--control", ts.Getenv("LINK"+number))
		startHost(ts, number, domains[i%len(domains)], args[1:])
	}
}

// host restarts a host of the cluster, as a new incarnation.
func host(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: host NUMBER [FLAG...]")
	}
	number, err := strconv.Atoi(args[0])
	ts.Check(err)
	startHost(ts, args[0], domains[(number-1)%len(domains)], args[1:])
}

// startHost starts a daemon and waits until its readiness probe succeeds.
func startHost(ts *testscript.TestScript, number, domain string, flags []string) {
	ready := fmt.Sprintf("http://%s/readyz", ts.Getenv("ADMIN"+number))
	startProcess(ts, "h"+number, ready, append([]string{
		"pineturnd", "--name", "host-" + number, "--domain", domain,
		"--caller-address", ts.Getenv("H" + number), "--peer-address", ts.Getenv("PEER" + number),
		"--admin-address", ts.Getenv("ADMIN" + number), "--log-address", ts.Getenv("VIA" + number),
		"--hostlist-address", ts.Getenv("HOSTS"), "--insecure",
	}, flags...)...)
}

// target starts a target that writes NAME.audit.jsonl. Its address is the variable
// with its name in upper case, which target sets if it is empty.
func target(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: target SERVICE NAME [FLAG...]")
	}
	service, name := args[0], args[1]
	variable := strings.ToUpper(name)
	if ts.Getenv(variable) == "" {
		addr(ts, false, []string{variable})
	}
	startProcess(ts, name, "", append([]string{
		"standin", "target", "--listen", ts.Getenv(variable), "--service", service, "--name", name,
		"--audit", name + ".audit.jsonl",
	}, args[2:]...)...)
}

// fill expands $NAME in files with the script's variables.
func fill(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: fill FILE...")
	}
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o644))
	}
}
