//go:build experiment

package experiment

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pineturn/core/report"
)

// When faults are injected into a run of probes, and how long a run is.
const (
	faultAt   = 3 * time.Second
	secondAt  = 2 * time.Second
	probeTime = 10 * time.Second
)

// loss is one failure: what is done, and, for a second blow, what is done
// secondAt later.
type loss struct {
	name   string
	first  func(b *bench, c *cluster)
	second func(b *bench, c *cluster)
}

var losses = []loss{
	{name: "none", first: func(*bench, *cluster) {}},
	{name: "target killed", first: killTarget},
	{name: "target frozen", first: signalTarget(syscall.SIGSTOP)},
	{name: "host killed", first: killHost},
	{name: "host paused", first: func(_ *bench, c *cluster) { _ = c.daemon[1].Process.Signal(syscall.SIGSTOP) }},
	{name: "host stopped in order", first: func(_ *bench, c *cluster) { _ = c.daemon[1].Process.Signal(syscall.SIGTERM) }},
	{name: "domain killed", first: killDomain},
	{name: "target drained", first: func(b *bench, c *cluster) { b.drain(c, "coverdesk-2") }},
	{name: "log down", first: logDown},
	{name: "log down, then host killed", first: logDown, second: killHost},
	{name: "log down, then host stopped in order", first: logDown, second: func(_ *bench, c *cluster) { _ = c.daemon[1].Process.Signal(syscall.SIGTERM) }},
	{name: "log slow by 2 s, then target killed", first: logSlow, second: killTarget},
	{name: "host killed, then target killed", first: killHost, second: killTarget},
}

// killTarget kills the second target of each service.
func killTarget(b *bench, c *cluster) { signalTarget(syscall.SIGKILL)(b, c) }

func signalTarget(signal syscall.Signal) func(*bench, *cluster) {
	return func(_ *bench, c *cluster) {
		for i := range c.fleet.commands {
			if i%c.fleet.site.perService == 1 {
				_ = c.fleet.commands[i].Process.Signal(signal)
			}
		}
	}
}

func killHost(_ *bench, c *cluster) { _ = c.daemon[1].Process.Kill() }

// killDomain kills every host and target of the second failure domain.
func killDomain(_ *bench, c *cluster) {
	domains := len(c.fleet.site.domains)
	for i, host := range c.daemon {
		if i%domains == 1 {
			_ = host.Process.Kill()
		}
	}
	for i, target := range c.fleet.commands {
		if i%c.fleet.site.perService%domains == 1 {
			_ = target.Process.Kill()
		}
	}
}

func logDown(b *bench, c *cluster) { b.fault(c, `{"mode": "down"}`) }

func logSlow(b *bench, c *cluster) { b.fault(c, `{"mode": "slow", "delay_ms": 2000}`) }

func (b *bench) fault(c *cluster, body string) { b.post("http://"+c.log+"/admin/faults", body) }

func (b *bench) drain(c *cluster, name string) {
	service, _, _ := strings.Cut(name, "-")
	b.post("http://"+c.admins[0]+"/operator/v1/drain",
		fmt.Sprintf(`{"target": {"service": %q, "name": %q}, "on": true}`, service, name))
}

func (b *bench) post(url, body string) {
	b.t.Helper()
	answer, err := http.Post(url, "application/json", strings.NewReader(body))
	b.check(err)
	b.check(answer.Body.Close())
	if answer.StatusCode/100 != 2 {
		b.t.Errorf("post %s: got %s, want success", url, answer.Status)
	}
}

// TestFailover measures, for each failure, how long probed keys can't be
// served. Callers give up after 150 ms, so that waiting counts as well.
func TestFailover(t *testing.T) {
	s := trinidad
	s.hosts = 8
	var table strings.Builder
	for _, one := range losses {
		t.Run(one.name, func(t *testing.T) { fmt.Fprintln(&table, failover(t, s, one)) })
	}
	t.Logf("failure | keys hit of all | worst key ms | total ms | still unavailable | keys moved\n%s", table.String())
}

func failover(t *testing.T, s site, one loss) string {
	b := newBench(t)
	fleet := b.startTargets(s, "targets")
	c := b.startCluster(fleet, "round")
	time.Sleep(3 * time.Second)
	b.dump(c, "targets")
	out := filepath.Join(b.out, "probe")
	probes := b.start("probe", "pineload", "run", "--rate", "0", "--probe", "10", "--probe-every", "50ms",
		"--duration", probeTime.String(), "--timeout", "150ms", "--attempts", "1", "--quiet", "--out", out,
		"--workload", s.user, "--hosts", c.hosts[0]+","+c.hosts[2])
	time.Sleep(faultAt)
	one.first(b, c)
	if one.second != nil {
		time.Sleep(secondAt)
		one.second(b, c)
	}
	b.check(probes.Wait())
	b.thaw(c)
	// The check reads the audits one after the other, so nothing may write.
	fleet.stop(b)
	check := b.judge(filepath.Join(b.out, "targets"))
	return one.name + " | " + summary(b, out+".report.json") + " | " + check
}

// thaw lets stopped processes go on, so that they can end.
func (b *bench) thaw(c *cluster) {
	for _, cmd := range append(append(c.daemon[:0:0], c.daemon...), c.fleet.commands...) {
		_ = cmd.Process.Signal(syscall.SIGCONT)
	}
}

// judge judges the targets' audits.
func (b *bench) judge(folder string) string {
	output := b.run("standin", "check", folder)
	lines := strings.Split(strings.TrimSpace(output), "\n")
	return lines[len(lines)-1]
}

func summary(b *bench, file string) string {
	data, err := os.ReadFile(file)
	b.check(err)
	var figures report.Report
	b.check(json.Unmarshal(data, &figures))
	var keys, open, moved int
	var worst, total float64
	for _, service := range figures.Services {
		keys += service.Unavailable.Keys
		open += service.Unavailable.Open
		moved += service.Churn.Moved
		worst = max(worst, service.Unavailable.Worst)
		total += service.Unavailable.Total
	}
	return fmt.Sprintf("%d | %.0f | %.0f | %d | %d", keys, worst, total, open, moved)
}
