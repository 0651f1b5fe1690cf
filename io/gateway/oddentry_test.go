package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"pineturn/core/owner"
)

// oddEntries are entries that another writer may leave among those of targets, by what is odd about
// them. %s is a service. None of them names a target.
func oddEntries() map[string]string {
	const whole = `{"address":"127.0.9.1:80","born":1,"info":{"service":"%s","zone":"a","version":"1","capacity":4},` +
		`"status":{"state":"ready","sequence":1,"warmup_left_s":0}}`
	with := func(old, replacement string) string {
		if !strings.Contains(whole, old) {
			panic("no " + old)
		}
		return strings.Replace(whole, old, replacement, 1)
	}
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	return map[string]string{
		"nested too deeply":        with(`"born":1`, `"born":1,"x":`+nested(100_000)),
		"nested and cut off":       strings.Repeat(`{"info":`, 30_000),
		"nested in a field":        with(`"version":"1"`, `"version":`+nested(5_000)),
		"sequence too large":       with(`"sequence":1`, `"sequence":1e400`),
		"sequence of 64 bits":      with(`"sequence":1`, `"sequence":9223372036854775807`),
		"born too large":           with(`"born":1`, `"born":1e400`),
		"born of 64 bits":          with(`"born":1`, `"born":9223372036854775807`),
		"born below zero":          with(`"born":1`, `"born":-9223372036854775808`),
		"capacity too large":       with(`"capacity":4`, `"capacity":1e30`),
		"capacity of 64 bits":      with(`"capacity":4`, `"capacity":9223372036854775807`),
		"capacity of 31 bits":      with(`"capacity":4`, `"capacity":2147483647`),
		"warm-up too large":        with(`"warmup_left_s":0`, `"warmup_left_s":1e400`),
		"warm-up of 308 digits":    with(`"warmup_left_s":0`, `"warmup_left_s":1e308`),
		"sequence below zero":      with(`"sequence":1`, `"sequence":-9223372036854775808`),
		"port out of range":        with(`127.0.9.1:80`, `127.0.9.1:99999`),
		"port below zero":          with(`127.0.9.1:80`, `127.0.9.1:-1`),
		"port zero":                with(`127.0.9.1:80`, `127.0.9.1:0`),
		"no port":                  with(`127.0.9.1:80`, `127.0.9.1`),
		"unspecified address":      with(`127.0.9.1:80`, `0.0.0.0:80`),
		"multicast address":        with(`127.0.9.1:80`, `224.0.0.1:80`),
		"address with a zone":      with(`127.0.9.1:80`, `[fe80::1%%eth0]:80`),
		"long address":             with(`127.0.9.1:80`, strings.Repeat("1", 60_000)),
		"key is not UTF-8\xff\xfe": whole,
		"":                         whole,
	}
}

// TestOddEntries guards against hosts that end, or stop following the targets, because of an entry of
// another writer.
func TestOddEntries(t *testing.T) {
	c := newTestCluster(t)
	for i := range 2 {
		c.addTarget(fmt.Sprint("plain", i), plainService)
		c.addTarget(fmt.Sprint("keyed", i), keyedService)
	}
	for i := range 3 {
		c.addHost(fmt.Sprint("host", i))
	}
	assertServes := func(t *testing.T) {
		t.Helper()
		for _, h := range c.hosts {
			for key := 0; key < owner.Keys; key += owner.Keys / 8 {
				eventually(t, fmt.Sprintf("key %d is served", key), 8*time.Second, func() bool {
					return c.call(newClient(t), h, http.MethodGet, "/records/1", key, "").status == http.StatusOK
				})
			}
			eventually(t, "a request without a key is served", 5*time.Second, func() bool {
				return c.call(newClient(t), h, http.MethodGet, "/cover/1", -1, "").status == http.StatusOK
			})
		}
	}
	assertServes(t)
	n := 0
	for _, service := range []string{plainService, keyedService, "unknown"} {
		for name, entry := range oddEntries() {
			key := name
			if name != "" && !strings.Contains(name, "UTF-8") {
				key = fmt.Sprint(service, "-odd", n)
			}
			n++
			entry = strings.Replace(entry, "127.0.9.1:", fmt.Sprintf("127.0.9.%d:", n), 1)
			if strings.Contains(entry, "%s") {
				entry = fmt.Sprintf(entry, service)
			}
			c.store.PutTarget(key, []byte(entry))
		}
	}
	x := c.addTarget("plain-later", plainService)
	assertKnown := func(t *testing.T, want bool) {
		t.Helper()
		for _, h := range c.hosts {
			eventually(t, fmt.Sprintf("target %s known at a host: %v", x.id, want), 4*time.Second, func() bool {
				h.exited(t)
				_, known := h.gateway.targets.Entry(x.id)
				return known == want
			})
		}
	}
	assertKnown(t, true)
	c.store.PutTarget(x.id, nil)
	x.end()
	assertKnown(t, false)
	for _, h := range c.hosts {
		for _, e := range h.gateway.targets.Entries("") {
			if !strings.HasPrefix(e.ID, "plain") && !strings.HasPrefix(e.ID, "keyed") {
				t.Errorf("target taken for one: got %q at %s with %d slots", e.ID, e.Address, e.Slots)
			}
		}
	}
	assertServes(t)
	wantOneOwner(t, c.audit)
}
