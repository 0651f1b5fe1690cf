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

// idleDuration is the time for which an idle cluster is measured.
const idleDuration = 20 * time.Second

// TestIdle measures the cost of the control plane on each host of an idle cluster:
// processor time, memory, appends to the log, and bytes exchanged with other hosts.
func TestIdle(t *testing.T) {
	for _, hosts := range []int{3, 12} {
		for _, targets := range []int{1, 10} {
			for _, shards := range []int{10, 100, 1000} {
				t.Run(fmt.Sprintf("hosts=%d/targets=%d/shards=%d", hosts, 3*targets, 3*shards), func(t *testing.T) {
					d := caroni
					d.hosts, d.perService, d.shards = hosts, targets, shards
					d.domains = append(append(append([]string(nil), d.domains...), d.domains...), d.domains...)
					idle(t, d)
				})
			}
		}
	}
}

func idle(t *testing.T, d deployment) {
	h := newHarness(t)
	c := h.startCluster(h.startTargets(d, "idle"), "idle")
	time.Sleep(10 * time.Second)
	before := h.metrics(c)
	time.Sleep(idleDuration)
	after := h.metrics(c)
	for i := range c.admins {
		spent := func(name string) float64 { return (after[i][name] - before[i][name]) / idleDuration.Seconds() }
		t.Logf("host %2d: %.2f%% of a core, %.1f MB resident, %.0f B/s to and %.0f B/s from hosts, %.1f heartbeats, %.1f orders, %.1f log reads, %.2f appends a second",
			i+1, 100*spent("process_cpu_seconds_total"), after[i]["process_resident_memory_bytes"]/1e6,
			spent("out"), spent("in"), spent("pineturn_heartbeats_total"), spent("pineturn_orders_total"),
			spent("pineturn_log_reads_total"), spent("pineturn_log_appends_total"))
	}
}

// metrics returns the metrics of each host, summed over their labels. The bytes
// received from and sent to other hosts are "in" and "out".
func (h *harness) metrics(c *cluster) []map[string]float64 {
	h.t.Helper()
	var list []map[string]float64
	for _, address := range c.admins {
		response, err := http.Get("http://" + address + "/metrics")
		h.check(err)
		sums := map[string]float64{}
		for lines := bufio.NewScanner(response.Body); lines.Scan(); {
			addSample(sums, lines.Text())
		}
		h.check(response.Body.Close())
		list = append(list, sums)
	}
	return list
}

// addSample adds the value of one line of the metrics text format to sums.
func addSample(sums map[string]float64, line string) {
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
