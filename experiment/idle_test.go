//go:build experiment

package experiment

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// idleTime is how long a cluster at rest is watched.
const idleTime = 20 * time.Second

// TestIdle measures what control costs each host of a cluster at rest: its
// processor time, its memory, its appends and its bytes to other hosts.
func TestIdle(t *testing.T) {
	for _, hosts := range []int{3, 12} {
		for _, targets := range []int{1, 10} {
			for _, shards := range []int{10, 100, 1000} {
				t.Run(fmt.Sprintf("hosts=%d/targets=%d/shards=%d", hosts, 3*targets, 3*shards), func(t *testing.T) {
					s := trinidad
					s.hosts, s.perService, s.shards = hosts, targets, shards
					s.domains = append(append(append([]string(nil), s.domains...), s.domains...), s.domains...)
					idle(t, s)
				})
			}
		}
	}
}

func idle(t *testing.T, s site) {
	b := newBench(t)
	c := b.startCluster(b.startTargets(s, "idle"), "idle")
	time.Sleep(10 * time.Second)
	before := b.gather(c)
	time.Sleep(idleTime)
	after := b.gather(c)
	for i := range c.admins {
		spent := func(name string) float64 { return (after[i][name] - before[i][name]) / idleTime.Seconds() }
		t.Logf("host %2d: %.2f%% of a core, %.1f MB resident, %.0f B/s to and %.0f B/s from hosts, %.1f heartbeats, %.1f orders, %.1f log reads, %.2f appends a second",
			i+1, 100*spent("process_cpu_seconds_total"), after[i]["process_resident_memory_bytes"]/1e6,
			spent("out"), spent("in"), spent("pineturn_heartbeats_total"), spent("pineturn_orders_total"),
			spent("pineturn_log_reads_total"), spent("pineturn_log_appends_total"))
	}
}

// gather reads the metrics of all hosts, summed over their labels; the bytes
// between hosts are "in" and "out".
func (b *bench) gather(c *cluster) []map[string]float64 {
	b.t.Helper()
	var list []map[string]float64
	for _, address := range c.admins {
		answer, err := http.Get("http://" + address + "/metrics")
		b.check(err)
		sums := map[string]float64{}
		for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
			add(sums, lines.Text())
		}
		b.check(answer.Body.Close())
		list = append(list, sums)
	}
	return list
}

func add(sums map[string]float64, line string) {
	series, text, found := strings.Cut(line, " ")
	value, err := strconv.ParseFloat(text, 64)
	if !found || err != nil {
		return
	}
	name, labels, _ := strings.Cut(series, "{")
	for _, direction := range []string{"in", "out"} {
		if name == "pineturn_peer_bytes_total" && strings.Contains(labels, `direction="`+direction+`"`) {
			name = direction
		}
	}
	sums[name] += value
}
