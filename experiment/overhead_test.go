//go:build experiment

package experiment

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	// defaultDuration is the duration of each run if the environment variable
	// durationEnv is not set.
	defaultDuration = "20s"
	durationEnv     = "PINETURN_EXPERIMENT_DURATION"
)

// TestOverhead compares requests through three hosts with requests sent directly
// to targets, at half and at twice the targets' capacity.
func TestOverhead(t *testing.T) {
	for _, d := range []deployment{caroni, tomor} {
		t.Run(d.user, func(t *testing.T) { overhead(t, d) })
	}
}

func overhead(t *testing.T, d deployment) {
	h := newHarness(t)
	service := d.services[0]
	one := d
	one.services = d.services[:1]
	for _, load := range []struct {
		name   string
		factor float64
	}{{"half", 0.5}, {"twice", 2}} {
		rate := fmt.Sprint(load.factor * h.capacity(one, service))
		direct := h.direct(one, load.name+"-direct", "--services", service, "--rate", rate)
		routed := h.routed(one, load.name+"-routed", "--services", service, "--rate", rate)
		t.Logf("%s capacity of %s\n%s", load.name, service, h.run("pineload", "compare", direct, routed))
	}
	rate := fmt.Sprint(0.5 * h.capacity(d, ""))
	direct := h.direct(d, "mix-direct", "--rate", rate)
	routed := h.routed(d, "mix-routed", "--rate", rate, "--attempts", "3")
	t.Logf("half capacity, all services\n%s", h.run("pineload", "compare", direct, routed))
}

// TestBalance measures imbalance, churn and unavailable time while the hot keys of
// one service change, at half its targets' capacity. The direct run hashes keys to
// targets.
func TestBalance(t *testing.T) {
	for _, d := range []deployment{caroni, tomor} {
		t.Run(d.user, func(t *testing.T) {
			d.services, d.perService, d.timeScale = d.services[:1], 10, "1"
			h := newHarness(t)
			flags := []string{
				"--services", d.services[0], "--rate", fmt.Sprint(0.5 * h.capacity(d, d.services[0])),
				"--duration", cmp.Or(os.Getenv(durationEnv), "60s"), "--shift", "15s",
			}
			direct := h.direct(d, "direct", flags...)
			routed := h.routed(d, "routed", append(flags, "--probe", "4")...)
			t.Logf("hot keys that move\n%s", h.run("pineload", "compare", direct, routed))
		})
	}
}

// capacity returns the arrival rate, in requests per second, at which the given
// service uses all its slots, or the most loaded one if service is empty.
func (h *harness) capacity(d deployment, service string) float64 {
	h.t.Helper()
	args := []string{"capacity", "--workload", d.user, "--time-scale", d.timeScale}
	if service != "" {
		args = append(args, "--services", service)
	}
	output := h.run("pineload", append(args, (&targetSet{deployment: d}).countFlags()...)...)
	rate := 0.0
	_, err := fmt.Sscan(output, &rate)
	h.check(err)
	return rate
}

// direct runs the workload on new targets without hosts and returns the path of the
// report.
func (h *harness) direct(d deployment, name string, flags ...string) string {
	h.t.Helper()
	targets := h.startTargets(d, name)
	defer targets.stop(h)
	return h.load("direct", d, name, append(targets.directFlags(), flags...)...)
}

// routed runs the workload on a new cluster, checks the audits and returns the path
// of the report.
func (h *harness) routed(d deployment, name string, flags ...string) string {
	h.t.Helper()
	targets := h.startTargets(d, name)
	c := h.startCluster(targets, name)
	flags = append(append(targets.countFlags(), "--hosts", strings.Join(c.hosts, ",")), flags...)
	file := h.load("run", d, name, flags...)
	h.dump(c, name)
	for _, cmd := range c.daemons {
		h.stop(cmd)
	}
	targets.stop(h)
	h.t.Logf("%s: standin check\n%s", name, h.run("standin", "check", filepath.Join(h.out, name)))
	return file
}

// load runs pineload in the given mode and returns the path of the report.
func (h *harness) load(mode string, d deployment, name string, flags ...string) string {
	h.t.Helper()
	duration := cmp.Or(os.Getenv(durationEnv), defaultDuration)
	out := filepath.Join(h.out, name, name)
	args := append([]string{
		mode, "--workload", d.user, "--duration", duration, "--quiet", "--attempts", "1", "--time-scale", d.timeScale, "--out", out, "--plot", out + ".svg",
	}, flags...)
	h.run("pineload", args...)
	if _, err := os.Stat(out + ".report.json"); err != nil {
		h.t.Fatal(err)
	}
	return out + ".report.json"
}
