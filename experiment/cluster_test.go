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

// site is a scaled-down deployment of one user.
type site struct {
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
	// timeScale lengthens the targets' work, so that their slots are the limit
	// before this machine's processors are.
	timeScale string
}

var (
	trinidad = site{
		user: "caroni", services: []string{"coverdesk", "recordsvault", "payoutledger"},
		perService: 4, slots: 2, connections: 100, hosts: 3, shards: 64, maxMoves: 4,
		weights: "{unavailable: 10, churn: 1, imbalance: 1}", domains: []string{"pos-a", "pos-b", "chag-a", "arima-a"}, timeScale: "4",
	}
	ulaanbaatar = site{
		user: "tomor", services: []string{"scale-read", "payout-ledger", "records-desk"},
		perService: 3, slots: 4, connections: 60, hosts: 3, shards: 64, maxMoves: 4,
		weights: "{unavailable: 3, churn: 10, imbalance: 1}", domains: []string{"songino", "bayanzurkh", "nalaikh", "khan-uul"}, timeScale: "4",
	}
)

// fleet is the running stand-in targets of a site.
type fleet struct {
	site      site
	addresses map[string][]string
	commands  []*exec.Cmd
}

// startTargets starts new targets, whose audits are named after round.
func (b *bench) startTargets(s site, round string, flags ...string) *fleet {
	b.t.Helper()
	f := &fleet{site: s, addresses: map[string][]string{}}
	for _, service := range s.services {
		for i := range s.perService {
			address, name := b.address(), fmt.Sprintf("%s-%d", service, i+1)
			args := append([]string{
				"target", "--listen", address, "--service", service, "--name", name, "--slots", fmt.Sprint(s.slots),
				"--connections", fmt.Sprint(s.connections), "--audit", filepath.Join(b.out, round, name+".audit.jsonl"),
			}, flags...)
			b.check(os.MkdirAll(filepath.Join(b.out, round), 0o755))
			f.commands = append(f.commands, b.start(round+"-"+name, "standin", args...))
			f.addresses[service] = append(f.addresses[service], address)
		}
	}
	for _, addresses := range f.addresses {
		for _, address := range addresses {
			b.until("target at "+address, func() bool { return accepts(address) })
		}
	}
	return f
}

func (f *fleet) stop(b *bench) {
	for _, cmd := range f.commands {
		b.stop(cmd)
	}
}

// directFlags names the targets to pineload.
func (f *fleet) directFlags() []string {
	var flags []string
	for service, addresses := range f.addresses {
		for _, address := range addresses {
			flags = append(flags, "--target", service+"="+address)
		}
	}
	return flags
}

// countFlags tells pineload how many targets each service has.
func (f *fleet) countFlags() []string {
	var flags []string
	for _, service := range f.site.services {
		flags = append(flags, "--targets", fmt.Sprintf("%s=%d", service, f.site.perService))
	}
	return flags
}

// config is the operators' file for the fleet.
func (f *fleet) config() string {
	var text strings.Builder
	fmt.Fprintln(&text, "services:")
	for _, service := range f.site.services {
		fmt.Fprintf(&text, "  %s:\n    timeout: 2s\n    max-timeout: 10s\n    max-moves: %d\n    weights: %s\n", service, f.site.maxMoves, f.site.weights)
		fmt.Fprintf(&text, "    once: [{method: POST}]\n    groups:\n      all: {keys: \"*\", shards: %d}\n    targets:\n", f.site.shards)
		for i, address := range f.addresses[service] {
			fmt.Fprintf(&text, "      %s-%d: {address: %q, domain: %s, slots: %d, connections: %d}\n",
				service, i+1, address, f.site.domains[i%len(f.site.domains)], f.site.slots, f.site.connections)
		}
	}
	return text.String()
}

// cluster is a running deployment: the platform, hosts and targets.
type cluster struct {
	fleet  *fleet
	log    string
	hosts  []string
	admins []string
	daemon []*exec.Cmd
}

// startCluster starts the platform and the hosts for a fleet, publishes its
// configuration and waits until each service answers.
func (b *bench) startCluster(f *fleet, round string) *cluster {
	b.t.Helper()
	c := &cluster{fleet: f}
	logAddress, listAddress := b.address(), b.address()
	c.log = logAddress
	b.start(round+"-log", "standin", "log", "--listen", logAddress)
	var list hostlist.List
	var peers []string
	for i := range f.site.hosts {
		c.hosts, c.admins, peers = append(c.hosts, b.address()), append(c.admins, b.address()), append(peers, b.address())
		list.Hosts = append(list.Hosts, hostlist.Host{
			Name: fmt.Sprintf("host-%d", i+1), Address: peers[i], Domain: f.site.domains[i%len(f.site.domains)], State: "live",
		})
	}
	data, err := json.Marshal(list)
	b.check(err)
	file := filepath.Join(b.out, "hosts.json")
	b.check(os.WriteFile(file, data, 0o644))
	b.start(round+"-hostlist", "standin", "hostlist", "--listen", listAddress, "--file", file)
	for _, address := range []string{logAddress, listAddress} {
		b.until("platform at "+address, func() bool { return accepts(address) })
	}
	for i, one := range list.Hosts {
		c.daemon = append(c.daemon, b.start(round+"-"+one.Name, "pineturnd", "--name", one.Name, "--domain", one.Domain,
			"--caller-address", c.hosts[i], "--peer-address", peers[i], "--admin-address", c.admins[i],
			"--log-address", logAddress, "--hostlist-address", listAddress, "--insecure"))
	}
	for _, admin := range c.admins {
		b.answers("http://"+admin+"/readyz", nil)
	}
	b.publish(c)
	return c
}

// dump keeps each host's state, and what it says of every shard.
func (b *bench) dump(c *cluster, name string) {
	b.t.Helper()
	for i, admin := range c.admins {
		for _, path := range []string{"debug/state", "operator/v1/shards", "operator/v1/moves"} {
			_, body := get("http://"+admin+"/"+path, nil)
			file := fmt.Sprintf("host-%d-%s.json", i+1, filepath.Base(path))
			b.check(os.WriteFile(filepath.Join(b.out, name, file), []byte(body), 0o644))
		}
	}
}

func (b *bench) publish(c *cluster) {
	b.t.Helper()
	client := operator.Client{Servers: []string{"http://" + c.admins[0]}, HTTP: http.DefaultClient, Timeout: limit}
	change := record.FileChange{Name: "10-experiment.yaml", Content: []byte(c.fleet.config())}
	_, err := client.ChangeFiles(b.t.Context(), operator.ChangeFiles{Author: "experiment", Changes: []record.FileChange{change}})
	b.check(err)
	for _, host := range c.hosts {
		for _, service := range c.fleet.site.services {
			for key := range 2 * c.fleet.site.shards {
				header := map[string]string{"Pineturn-Service": service, "Pineturn-Key": fmt.Sprint("warm-", key)}
				b.answers("http://"+host+"/?ms=0", header)
			}
		}
	}
}
