//go:build experiment

package experiment

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"pineturn/core/record"
	"pineturn/io/operator"
	"pineturn/io/standin/hostlist"
)

// deployment is a scaled-down deployment of one user. Each service has perService
// targets and is divided into the given number of shards. Each target has slots
// slots and accepts at most connections connections. The hosts and the targets of
// each service are assigned to domains round-robin. maxMoves and weights are
// settings of each service.
type deployment struct {
	user        string
	services    []string
	perService  int
	slots       int
	connections int
	hosts       int
	shards      int
	maxMoves    int
	weights     string
	domains     []string
	// timeScale is the factor on the targets' service time. A factor above 1 makes
	// the targets' slots the limit before the processors of this machine.
	timeScale string
}

var (
	caroni = deployment{
		user: "caroni", services: []string{"coverdesk", "recordsvault", "payoutledger"},
		perService: 4, slots: 2, connections: 100, hosts: 3, shards: 64, maxMoves: 4,
		weights: "{unavailable: 10, churn: 1, imbalance: 1}", domains: []string{"pos-a", "pos-b", "chag-a", "arima-a"}, timeScale: "4",
	}
	tomor = deployment{
		user: "tomor", services: []string{"scale-read", "payout-ledger", "records-desk"},
		perService: 3, slots: 4, connections: 60, hosts: 3, shards: 64, maxMoves: 4,
		weights: "{unavailable: 3, churn: 10, imbalance: 1}", domains: []string{"songino", "bayanzurkh", "nalaikh", "khan-uul"}, timeScale: "4",
	}
)

// targetSet is the set of running stand-in targets of a deployment.
type targetSet struct {
	deployment deployment
	addresses  map[string][]string
	commands   []*exec.Cmd
}

// startTargets starts targets that write their audits to the folder prefix.
func (h *harness) startTargets(d deployment, prefix string, flags ...string) *targetSet {
	h.t.Helper()
	targets := &targetSet{deployment: d, addresses: map[string][]string{}}
	for _, service := range d.services {
		for i := range d.perService {
			address, name := h.address(), fmt.Sprintf("%s-%d", service, i+1)
			args := append([]string{
				"target", "--listen", address, "--service", service, "--name", name, "--slots", fmt.Sprint(d.slots),
				"--connections", fmt.Sprint(d.connections), "--audit", filepath.Join(h.out, prefix, name+".audit.jsonl"),
			}, flags...)
			h.check(os.MkdirAll(filepath.Join(h.out, prefix), 0o755))
			targets.commands = append(targets.commands, h.start(prefix+"-"+name, "standin", args...))
			targets.addresses[service] = append(targets.addresses[service], address)
		}
	}
	for _, addresses := range targets.addresses {
		for _, address := range addresses {
			h.until("target at "+address, func() bool { return acceptsConn(address) })
		}
	}
	return targets
}

func (t *targetSet) stop(h *harness) {
	for _, cmd := range t.commands {
		h.stop(cmd)
	}
}

// directFlags returns the pineload flags with the address of each target.
func (t *targetSet) directFlags() []string {
	var flags []string
	for service, addresses := range t.addresses {
		for _, address := range addresses {
			flags = append(flags, "--target", service+"="+address)
		}
	}
	return flags
}

// countFlags returns the pineload flags with the number of targets of each service.
func (t *targetSet) countFlags() []string {
	var flags []string
	for _, service := range t.deployment.services {
		flags = append(flags, "--targets", fmt.Sprintf("%s=%d", service, t.deployment.perService))
	}
	return flags
}

// config returns the configuration file for the targets.
func (t *targetSet) config() string {
	var text strings.Builder
	fmt.Fprintln(&text, "services:")
	for _, service := range t.deployment.services {
		fmt.Fprintf(&text, "  %s:\n    timeout: 2s\n    max-timeout: 10s\n    max-moves: %d\n    weights: %s\n", service, t.deployment.maxMoves, t.deployment.weights)
		fmt.Fprintf(&text, "    once: [{method: POST}]\n    groups:\n      all: {keys: \"*\", shards: %d}\n    targets:\n", t.deployment.shards)
		for i, address := range t.addresses[service] {
			fmt.Fprintf(&text, "      %s-%d: {address: %q, domain: %s, slots: %d, connections: %d}\n",
				service, i+1, address, t.deployment.domains[i%len(t.deployment.domains)], t.deployment.slots, t.deployment.connections)
		}
	}
	return text.String()
}

// cluster is a running cluster: the log service, the host list, hosts and targets.
// The addresses are those of the log service, and of each host for callers (hosts)
// and operators (admins).
type cluster struct {
	targets *targetSet
	log     string
	hosts   []string
	admins  []string
	daemons []*exec.Cmd
}

// startCluster starts the log service, the host list and the hosts, publishes the
// configuration for the targets and waits until each service responds. The names
// of the processes' logs begin with prefix.
func (h *harness) startCluster(targets *targetSet, prefix string) *cluster {
	h.t.Helper()
	c := &cluster{targets: targets}
	logAddress, listAddress := h.address(), h.address()
	c.log = logAddress
	h.start(prefix+"-log", "standin", "log", "--listen", logAddress)
	var list hostlist.List
	var peers []string
	for i := range targets.deployment.hosts {
		c.hosts, c.admins, peers = append(c.hosts, h.address()), append(c.admins, h.address()), append(peers, h.address())
		list.Hosts = append(list.Hosts, hostlist.Host{
			Name: fmt.Sprintf("host-%d", i+1), Address: peers[i], Domain: targets.deployment.domains[i%len(targets.deployment.domains)], State: "live",
		})
	}
	data, err := json.Marshal(list)
	h.check(err)
	file := filepath.Join(h.out, "hosts.json")
	h.check(os.WriteFile(file, data, 0o644))
	h.start(prefix+"-hostlist", "standin", "hostlist", "--listen", listAddress, "--file", file)
	for _, address := range []string{logAddress, listAddress} {
		h.until("platform at "+address, func() bool { return acceptsConn(address) })
	}
	for i, host := range list.Hosts {
		c.daemons = append(c.daemons, h.start(prefix+"-"+host.Name, "pineturnd", "--name", host.Name, "--domain", host.Domain,
			"--caller-address", c.hosts[i], "--peer-address", peers[i], "--admin-address", c.admins[i],
			"--log-address", logAddress, "--hostlist-address", listAddress, "--insecure"))
	}
	for _, admin := range c.admins {
		h.waitOK("http://"+admin+"/readyz", nil)
	}
	h.publish(c)
	return c
}

// dump saves each host's state, shards and moves to the folder name.
func (h *harness) dump(c *cluster, name string) {
	h.t.Helper()
	for i, admin := range c.admins {
		for _, path := range []string{"debug/state", "operator/v1/shards", "operator/v1/moves"} {
			_, body := get("http://"+admin+"/"+path, nil)
			file := fmt.Sprintf("host-%d-%s.json", i+1, filepath.Base(path))
			h.check(os.WriteFile(filepath.Join(h.out, name, file), []byte(body), 0o644))
		}
	}
}

// publish publishes the configuration and waits until requests for twice as many
// keys as shards succeed through each host.
func (h *harness) publish(c *cluster) {
	h.t.Helper()
	client := operator.Client{Servers: []string{"http://" + c.admins[0]}, HTTP: http.DefaultClient, Timeout: timeout}
	change := record.FileChange{Name: "10-experiment.yaml", Content: []byte(c.targets.config())}
	_, err := client.ChangeFiles(h.t.Context(), operator.ChangeFiles{Author: "experiment", Changes: []record.FileChange{change}})
	h.check(err)
	for _, host := range c.hosts {
		for _, service := range c.targets.deployment.services {
			for key := range 2 * c.targets.deployment.shards {
				header := map[string]string{"Pineturn-Service": service, "Pineturn-Key": fmt.Sprint("warm-", key)}
				h.waitOK("http://"+host+"/?ms=0", header)
			}
		}
	}
}
