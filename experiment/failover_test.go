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

// Times of faults in a run of probes: the first comes faultDelay after the start of
// the probes, the second secondFaultDelay after the first. The probes run for
// probeDuration.
const (
	faultDelay       = 3 * time.Second
	secondFaultDelay = 2 * time.Second
	probeDuration    = 10 * time.Second
)

// failure is a failure that is injected. If second is not nil, it is injected
// secondFaultDelay after first.
type failure struct {
	name   string
	first  func(h *harness, c *cluster)
	second func(h *harness, c *cluster)
}

var failures = []failure{
	{name: "none", first: func(*harness, *cluster) {}},
	{name: "target killed", first: killTarget},
	{name: "target frozen", first: signalTarget(syscall.SIGSTOP)},
	{name: "host killed", first: killHost},
	{name: "host paused", first: func(_ *harness, c *cluster) { _ = c.daemons[1].Process.Signal(syscall.SIGSTOP) }},
	{name: "host stopped in order", first: func(_ *harness, c *cluster) { _ = c.daemons[1].Process.Signal(syscall.SIGTERM) }},
	{name: "domain killed", first: killDomain},
	{name: "target drained", first: func(h *harness, c *cluster) { h.drain(c, "coverdesk-2") }},
	{name: "log down", first: logDown},
	{name: "log down, then host killed", first: logDown, second: killHost},
	{name: "log down, then host stopped in order", first: logDown, second: func(_ *harness, c *cluster) { _ = c.daemons[1].Process.Signal(syscall.SIGTERM) }},
	{name: "log slow by 2 s, then target killed", first: logSlow, second: killTarget},
	{name: "host killed, then target killed", first: killHost, second: killTarget},
}

// killTarget kills the second target of each service.
func killTarget(h *harness, c *cluster) { signalTarget(syscall.SIGKILL)(h, c) }

// signalTarget returns a function that sends a signal to the second target of each
// service.
func signalTarget(signal syscall.Signal) func(*harness, *cluster) {
	return func(_ *harness, c *cluster) {
		for i := range c.targets.commands {
			if i%c.targets.deployment.perService == 1 {
				_ = c.targets.commands[i].Process.Signal(signal)
			}
		}
	}
}

func killHost(_ *harness, c *cluster) { _ = c.daemons[1].Process.Kill() }

// killDomain kills every host and target of the second failure domain.
func killDomain(_ *harness, c *cluster) {
	domains := len(c.targets.deployment.domains)
	for i, host := range c.daemons {
		if i%domains == 1 {
			_ = host.Process.Kill()
		}
	}
	for i, target := range c.targets.commands {
		if i%c.targets.deployment.perService%domains == 1 {
			_ = target.Process.Kill()
		}
	}
}

func logDown(h *harness, c *cluster) { h.fault(c, `{"mode": "down"}`) }

func logSlow(h *harness, c *cluster) { h.fault(c, `{"mode": "slow", "delay_ms": 2000}`) }

func (h *harness) fault(c *cluster, body string) { h.post("http://"+c.log+"/admin/faults", body) }

func (h *harness) drain(c *cluster, name string) {
	service, _, _ := strings.Cut(name, "-")
	h.post("http://"+c.admins[0]+"/operator/v1/drain",
		fmt.Sprintf(`{"target": {"service": %q, "name": %q}, "on": true}`, service, name))
}

func (h *harness) post(url, body string) {
	h.t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	h.check(err)
	h.check(response.Body.Close())
	if response.StatusCode/100 != 2 {
		h.t.Errorf("post %s: got %s, want success", url, response.Status)
	}
}

// TestFailover measures how long probed keys are unavailable after each failure.
// Probes time out after 150 ms, so that time spent waiting counts as unavailable.
func TestFailover(t *testing.T) {
	d := caroni
	d.hosts = 8
	var table strings.Builder
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) { fmt.Fprintln(&table, failover(t, d, f)) })
	}
	t.Logf("failure | keys hit of all | worst key ms | total ms | still unavailable | keys moved\n%s", table.String())
}

func failover(t *testing.T, d deployment, f failure) string {
	h := newHarness(t)
	targets := h.startTargets(d, "targets")
	c := h.startCluster(targets, "round")
	time.Sleep(3 * time.Second)
	h.dump(c, "targets")
	out := filepath.Join(h.out, "probe")
	probes := h.start("probe", "pineload", "run", "--rate", "0", "--probe", "10", "--probe-every", "50ms",
		"--duration", probeDuration.String(), "--timeout", "150ms", "--attempts", "1", "--quiet", "--out", out,
		"--workload", d.user, "--hosts", c.hosts[0]+","+c.hosts[2])
	time.Sleep(faultDelay)
	f.first(h, c)
	if f.second != nil {
		time.Sleep(secondFaultDelay)
		f.second(h, c)
	}
	h.check(probes.Wait())
	h.resume(c)
	// The check reads the audits one after the other, so no target may still write.
	targets.stop(h)
	check := h.checkAudits(filepath.Join(h.out, "targets"))
	return f.name + " | " + summary(h, out+".report.json") + " | " + check
}

// resume resumes suspended processes, so that they can exit.
func (h *harness) resume(c *cluster) {
	for _, cmd := range append(append(c.daemons[:0:0], c.daemons...), c.targets.commands...) {
		_ = cmd.Process.Signal(syscall.SIGCONT)
	}
}

// checkAudits checks the targets' audits and returns the last line of the result.
func (h *harness) checkAudits(folder string) string {
	output := h.run("standin", "check", folder)
	lines := strings.Split(strings.TrimSpace(output), "\n")
	return lines[len(lines)-1]
}

// summary returns a row of the report's figures, summed over services: keys
// unavailable, the longest time and the sum in ms, keys still unavailable, and keys
// moved. The longest time is the maximum over services.
func summary(h *harness, file string) string {
	data, err := os.ReadFile(file)
	h.check(err)
	var figures report.Report
	h.check(json.Unmarshal(data, &figures))
	var keys, stillUnavailable, movedKeys int
	var worst, total float64
	for _, service := range figures.Services {
		keys += service.Unavailable.Keys
		stillUnavailable += service.Unavailable.Open
		movedKeys += service.Churn.Moved
		worst = max(worst, service.Unavailable.Worst)
		total += service.Unavailable.Total
	}
	return fmt.Sprintf("%d | %.0f | %.0f | %d | %d", keys, worst, total, stillUnavailable, movedKeys)
}
