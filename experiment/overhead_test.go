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
	// defaultDuration is the length of each run.
	defaultDuration = "20s"
	durationEnv     = "PINETURN_EXPERIMENT_DURATION"
)

// TestOverhead compares requests through three hosts with direct ones, at
// half the targets' capacity and at twice the capacity.
func TestOverhead(t *testing.T) {
	for _, s := range []site{trinidad, ulaanbaatar} {
		t.Run(s.user, func(t *testing.T) { overhead(t, s) })
	}
}

func overhead(t *testing.T, s site) {
	b := newBench(t)
	service := s.services[0]
	one := s
	one.services = s.services[:1]
	for _, load := range []struct {
		name   string
		factor float64
	}{{"half", 0.5}, {"twice", 2}} {
		rate := fmt.Sprint(load.factor * b.capacity(one, service))
		direct := b.direct(one, load.name+"-direct", "--services", service, "--rate", rate)
		routed := b.routed(one, load.name+"-routed", "--services", service, "--rate", rate)
		t.Logf("%s capacity of %s\n%s", load.name, service, b.run("pineload", "compare", direct, routed))
	}
	rate := fmt.Sprint(0.5 * b.capacity(s, ""))
	direct := b.direct(s, "mix-direct", "--rate", rate)
	routed := b.routed(s, "mix-routed", "--rate", rate, "--attempts", "3")
	t.Logf("half capacity, all services\n%s", b.run("pineload", "compare", direct, routed))
}

// TestBalance measures imbalance, churn and unavailable time while the hot
// keys of one service move, at half its targets' capacity. The direct run hashes keys to targets.
func TestBalance(t *testing.T) {
	for _, s := range []site{trinidad, ulaanbaatar} {
		t.Run(s.user, func(t *testing.T) {
			s.services, s.perService, s.timeScale = s.services[:1], 10, "1"
			b := newBench(t)
			flags := []string{
				"--services", s.services[0], "--rate", fmt.Sprint(0.5 * b.capacity(s, s.services[0])),
				"--duration", cmp.Or(os.Getenv(durationEnv), "60s"), "--shift", "15s",
			}
			direct := b.direct(s, "direct", flags...)
			routed := b.routed(s, "routed", append(flags, "--probe", "4")...)
			t.Logf("hot keys that move\n%s", b.run("pineload", "compare", direct, routed))
		})
	}
}

// capacity is the rate at which the busiest service uses every slot, or that
// of one service.
func (b *bench) capacity(s site, service string) float64 {
	b.t.Helper()
	args := []string{"capacity", "--workload", s.user, "--time-scale", s.timeScale}
	if service != "" {
		args = append(args, "--services", service)
	}
	output := b.run("pineload", append(args, (&fleet{site: s}).countFlags()...)...)
	rate := 0.0
	_, err := fmt.Sscan(output, &rate)
	b.check(err)
	return rate
}

// direct runs the load on new targets without hosts and returns the report's
// file.
func (b *bench) direct(s site, name string, flags ...string) string {
	b.t.Helper()
	f := b.startTargets(s, name)
	defer f.stop(b)
	return b.load("direct", s, name, append(f.directFlags(), flags...)...)
}

// routed runs the load on a new cluster, has the audits checked, and returns
// the report's file.
func (b *bench) routed(s site, name string, flags ...string) string {
	b.t.Helper()
	f := b.startTargets(s, name)
	c := b.startCluster(f, name)
	flags = append(append(f.countFlags(), "--hosts", strings.Join(c.hosts, ",")), flags...)
	file := b.load("run", s, name, flags...)
	b.dump(c, name)
	for _, cmd := range c.daemon {
		b.stop(cmd)
	}
	f.stop(b)
	b.t.Logf("%s: standin check\n%s", name, b.run("standin", "check", filepath.Join(b.out, name)))
	return file
}

func (b *bench) load(mode string, s site, name string, flags ...string) string {
	b.t.Helper()
	duration := cmp.Or(os.Getenv(durationEnv), defaultDuration)
	out := filepath.Join(b.out, name, name)
	args := append([]string{
		mode, "--workload", s.user, "--duration", duration, "--quiet", "--attempts", "1", "--time-scale", s.timeScale, "--out", out, "--plot", out + ".svg",
	}, flags...)
	b.run("pineload", args...)
	if _, err := os.Stat(out + ".report.json"); err != nil {
		b.t.Fatal(err)
	}
	return out + ".report.json"
}
