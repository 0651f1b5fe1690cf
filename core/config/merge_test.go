package config

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pineturn/core/record"
)

// base is a valid file that the tests overlay with other files.
const base = `services:
  payoutledger:
    timeout: 800ms
    targets:
      payoutledger-1: {address: "127.0.0.31:9001", domain: pos-a, slots: 2, connections: 100, labels: {class: big}}
      payoutledger-2: {address: "127.0.0.32:9001", domain: pos-b, slots: 2, connections: 100}
`

func mergeText(texts ...string) (*Config, []Fault) {
	files := make([]File, 0, len(texts))
	for i, text := range texts {
		files = append(files, File{Name: fmt.Sprintf("%02d.yaml", i), Content: []byte(text)})
	}
	return Merge(7, files)
}

func mustMerge(t *testing.T, texts ...string) *Config {
	t.Helper()
	config, found := mergeText(texts...)
	if len(found) > 0 {
		t.Fatalf("got faults %v, want none", found)
	}
	return config
}

// assertFault checks that the files have exactly one fault, whose text starts
// with want.
func assertFault(t *testing.T, want string, texts ...string) {
	t.Helper()
	config, found := mergeText(texts...)
	if config != nil || len(found) != 1 || !strings.HasPrefix(found[0].String(), want) {
		t.Errorf("got %v, want one fault %q", found, want)
	}
}

func assertEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestMergeReadsFields(t *testing.T) {
	config := mustMerge(t, `services:
  payoutledger:
    timeout: 800ms
    max-timeout: 5s
    max-body: 2MiB
    queue: 0
    weights: {unavailable: 1.5, churn: 0}
    max-moves: 9
    long-running: true
    once: [{method: POST, path: "/payouts*"}]
    once-window: 1m
    targets:
      a: {address: "127.0.0.31:9001", domain: pos-a, slots: 3, connections: 100, checked: true, labels: {class: big}}
      b: {address: "[::1]:9001", domain: pos-b, slots: 2, connections: 100, drain: true}
    groups:
      north: {keys: "north-*", shards: 32, targets: {domain: [pos-a, pos-b], labels: {class: big}, names: []}}
      early: {keys: "*-early", order: 1}
`)
	assertEqual(t, "version", config.Version(), 7)
	service, _ := config.Service("payoutledger")
	assertEqual(t, "timeout", service.Timeout(), 800*time.Millisecond)
	assertEqual(t, "max-timeout", service.MaxTimeout(), 5*time.Second)
	assertEqual(t, "max-body", service.MaxBody(), 2<<20)
	assertEqual(t, "queue", service.Queue(), 0)
	assertEqual(t, "weights", service.Weights(), Weights{unavailable: 1.5, imbalance: DefaultImbalance})
	assertEqual(t, "max-moves", service.MaxMoves(), 9)
	assertEqual(t, "long-running", service.LongRunning(), true)
	assertEqual(t, "once", service.Once("POST", "/payouts"), true)
	assertEqual(t, "once below the path", service.Once("POST", "/payouts/7/lodge"), true)
	assertEqual(t, "once of GET", service.Once("GET", "/payouts"), false)
	assertEqual(t, "once-window", service.OnceWindow(), time.Minute)
	assertEqual(t, "group of north-early", service.Group("north-early").Name(), "early")
	assertEqual(t, "group of north-1", service.Group("north-1").Name(), "north")
	assertEqual(t, "group of south", service.Group("south").Name(), "all")
	north, _ := service.GroupNamed("north")
	assertEqual(t, "shards", north.Shards(), 32)
	assertEqual(t, "eligible b", north.Eligible("b"), false)
	target, _ := config.Target(record.Target{Service: "payoutledger", Name: "a"})
	assertEqual(t, "address", target.Address(), "127.0.0.31:9001")
	assertEqual(t, "checked", target.Checked(), true)
	assertEqual(t, "slots", target.Slots(), 3)
	assertEqual(t, "label", target.Label("class"), "big")
}

func TestMergeOverlays(t *testing.T) {
	t.Run("later value replaces earlier value", func(t *testing.T) {
		config := mustMerge(t, base, "services: {payoutledger: {timeout: 900ms}}")
		assertEqual(t, "timeout", config.Services()[0].Timeout(), 900*time.Millisecond)
		assertEqual(t, "targets", len(config.Services()[0].Targets()), 2)
	})
	t.Run("list is replaced", func(t *testing.T) {
		config := mustMerge(t, base, `services: {payoutledger: {once: [{method: POST}, {method: PUT}]}}`,
			`services: {payoutledger: {once: [{method: PATCH}]}}`)
		assertEqual(t, "POST", config.Services()[0].Once("POST", "/"), false)
		assertEqual(t, "PATCH", config.Services()[0].Once("PATCH", "/"), true)
	})
	t.Run("null removes", func(t *testing.T) {
		config := mustMerge(t, base, "services: {payoutledger: {timeout: null, targets: {payoutledger-2: ~}}}")
		assertEqual(t, "timeout", config.Services()[0].Timeout(), DefaultTimeout)
		assertEqual(t, "targets", len(config.Services()[0].Targets()), 1)
	})
	t.Run("removed and set again", func(t *testing.T) {
		config := mustMerge(t, base, "services: {payoutledger: {targets: {payoutledger-1: null}}}",
			`services: {payoutledger: {targets: {payoutledger-1: {address: "127.0.0.1:1", domain: d, slots: 1, connections: 1}}}}`)
		target, _ := config.Services()[0].Target("payoutledger-1")
		assertEqual(t, "old label", target.Label("class"), "")
	})
	t.Run("no services", func(t *testing.T) {
		assertEqual(t, "services", len(mustMerge(t, "# only a comment\n", "", "services: {gone: null}").Services()), 0)
	})
}

func TestMergeRejects(t *testing.T) {
	service := func(text string) string { return "services:\n  payoutledger:\n    " + text + "\n" }
	target := func(text string) string { return service("targets:\n      payoutledger-1: {" + text + "}") }
	group := func(text string) string { return service("groups:\n      north: {" + text + "}") }
	tests := []struct{ name, text, want string }{
		{"unknown field", service("timeuot: 1s"), "01.yaml:3: services.payoutledger.timeuot: unknown field; known here: groups, long-running"},
		{"unknown top", "service: {}", "01.yaml:1: service: unknown field; known here: services"},
		{"no unit", service("timeout: 800"), "01.yaml:3: services.payoutledger.timeout: want a duration with its unit"},
		{"wrong unit", service("max-body: 1MB"), "01.yaml:3: services.payoutledger.max-body: want a size with its unit (B, KiB, MiB)"},
		{"no value", service("timeout:"), "01.yaml:3: services.payoutledger.timeout: has no value"},
		{"not a map", service("targets: []"), "01.yaml:3: services.payoutledger.targets: want a map, not a list"},
		{"duplicate key", service("timeout: 1s\n    timeout: 2s"), "01.yaml:4: "},
		{"unsafe name", "services: {a/b: {}}", "01.yaml:1: services.a/b: invalid name; want 1 to 63"},
		{"number as name", "services: {7: {}}", "01.yaml:1: services: want a string as key"},
		{"slots", target("slots: 0"), "01.yaml:4: services.payoutledger.targets.payoutledger-1.slots: want a whole number from 1"},
		{"connections", target("connections: 1"), "01.yaml:4: services.payoutledger.targets.payoutledger-1.connections: 1 is below slots 2"},
		{"host name", target("address: \"localhost:80\""), "01.yaml:4: services.payoutledger.targets.payoutledger-1.address: want an IP:port"},
		{"no port", target("address: \"127.0.0.1\""), "01.yaml:4: services.payoutledger.targets.payoutledger-1.address: want an IP:port"},
		{"same address", target("address: \"127.0.0.32:9001\""), "00.yaml:6: services.payoutledger.targets.payoutledger-2.address: 127.0.0.32:9001 is also the address of target payoutledger/payoutledger-1"},
		{"label as number", target("labels: {class: 5}"), "01.yaml:4: services.payoutledger.targets.payoutledger-1.labels.class: want 1 to 63"},
		{"missing", service("targets: {c: {domain: d, slots: 1, connections: 1}}"), "01.yaml:3: services.payoutledger.targets.c.address: missing; want an IP:port"},
		{"shards", group("keys: \"n*\", shards: 4097"), "01.yaml:4: services.payoutledger.groups.north.shards: want a whole number from 1 to 4096"},
		{"no keys", group("shards: 3"), "01.yaml:4: services.payoutledger.groups.north.keys: missing"},
		{"bad pattern", group("keys: \"[\""), "01.yaml:4: services.payoutledger.groups.north.keys: want a key pattern"},
		{"unquoted star", group("keys: *"), "01.yaml:4: "},
		{"unknown domain", group("keys: \"n*\", targets: {domain: [pos-c]}"), "01.yaml:4: services.payoutledger.groups.north.targets.domain[0]: no target of payoutledger has \"pos-c\"; existing values: pos-a, pos-b"},
		{"unknown label", group("keys: \"n*\", targets: {labels: {class: small}}"), "01.yaml:4: services.payoutledger.groups.north.targets.labels.class: no target"},
		{"no matching target", group("keys: \"n*\", targets: {domain: [pos-b], labels: {class: big}}"), "01.yaml:4: services.payoutledger.groups.north.targets: no target matches"},
		{"group all", service("groups: {all: {keys: \"n*\"}}"), "01.yaml:3: services.payoutledger.groups.all.keys: the name all is reserved"},
		{"same keys", service("groups: {a: {keys: \"n*\"}, b: {keys: \"n*\"}}"), "01.yaml:3: services.payoutledger.groups.b.keys: \"n*\" is also the key pattern of group a"},
		{"timeouts", service("max-timeout: 100ms"), "00.yaml:3: services.payoutledger.timeout: 800ms is above max-timeout 100ms"},
		{"no target", "services: {idle: {}}", "01.yaml:1: services.idle.targets: the service has no targets"},
		{"all drain", "services: {payoutledger: {targets: {payoutledger-1: {drain: true}, payoutledger-2: {drain: true}}}}", "00.yaml:2: services.payoutledger.targets: every target is set to drain"},
		{"weights", service("weights: {unavailable: 0, churn: 0, imbalance: 0}"), "01.yaml:3: services.payoutledger.weights: all weights are 0"},
		{"empty rule", service("once: [{}]"), "01.yaml:3: services.payoutledger.once[0]: empty rule"},
		{"null in a list", service("once: [null]"), "01.yaml:3: services.payoutledger.once[0]: want a map, not null"},
		{"alias", "services: &a {}", "01.yaml:1: services: anchors, tags and directives are not allowed"},
		{"second document", "services: {}\n---\nservices: {}\n", "01.yaml:3: second YAML document"},
		{"not YAML", "services: [", "01.yaml:1: not YAML"},
		{"not UTF-8", "services: \xff", "01.yaml:1: not UTF-8"},
		{"too large", strings.Repeat("#", MaxFileSize+1), "01.yaml:1: file has 65537 bytes, more than the allowed 65536"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { assertFault(t, test.want, base, test.text) })
	}
}

func TestMergeRejectsNames(t *testing.T) {
	for _, name := range []string{"", "a.yml", "a/b.yaml", "../a.yaml", ".yaml", ".a.yaml", "a b.yaml"} {
		if _, found := Merge(1, []File{{Name: name}}); len(found) != 1 {
			t.Errorf("%q: got %v, want one fault", name, found)
		}
	}
	_, found := Merge(1, []File{{Name: "a.yaml"}, {Name: "a.yaml"}})
	if len(found) != 1 {
		t.Errorf("same name twice: got %v, want one fault", found)
	}
}

func TestCheckChange(t *testing.T) {
	groups := func(text string) string { return base + "    groups: " + text + "\n" }
	old := groups(`{n: {keys: "n*", order: 1}, m: {keys: "m*", order: 2}}`)
	tests := []struct{ name, text, want string }{
		{"same", old, ""},
		{"order by other numbers", groups(`{n: {keys: "n*", order: 5}, m: {keys: "m*"}}`), ""},
		{"targets", groups(`{n: {keys: "n*", order: 1, targets: {domain: [pos-a]}}, m: {keys: "m*", order: 2}}`), ""},
		{"service removed", "services: {}", ""},
		{"shards", groups(`{n: {keys: "n*", order: 1, shards: 65}, m: {keys: "m*", order: 2}}`), "00.yaml:7: services.payoutledger.groups.n.shards: 64 can't become 65"},
		{"keys", groups(`{n: {keys: "no*", order: 1}, m: {keys: "m*", order: 2}}`), "00.yaml:7: services.payoutledger.groups.n.keys: \"n*\" can't become \"no*\""},
		{"added", groups(`{n: {keys: "n*", order: 1}, m: {keys: "m*", order: 2}, k: {keys: "k*"}}`), "00.yaml:7: services.payoutledger.groups.k: a group added"},
		{"removed", groups(`{n: {keys: "n*", order: 1}}`), "00.yaml:2: services.payoutledger.groups.m: a group cannot be removed"},
		{"reordered", groups(`{n: {keys: "n*", order: 3}, m: {keys: "m*", order: 2}}`), "00.yaml:7: services.payoutledger.groups.m.order: would be matched before group n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			found := CheckChange(mustMerge(t, old), mustMerge(t, test.text))
			if test.want == "" {
				assertEqual(t, "faults", len(found), 0)
			} else if len(found) != 1 || !strings.HasPrefix(found[0].String(), test.want) {
				t.Errorf("got %v, want one fault %q", found, test.want)
			}
		})
	}
}

// TestMergeIsDeterministic checks that the result of a merge depends neither on
// the order of the files nor on the files that a Merger has cached. It merges
// random folders of valid and invalid files twice: with Merge, and in shuffled
// order with a Merger that has merged other folders before.
func TestMergeIsDeterministic(t *testing.T) {
	pieces := []string{
		base, "services: {payoutledger: {timeout: 2s}}", "services: {payoutledger: {timeout: null}}",
		"services: {payoutledger: {once: [{method: POST}]}}", "services: {payoutledger: null}", "bad: 1\nworse: 2",
		`services: {payoutledger: {groups: {n: {keys: "n*"}, m: {keys: "n*"}}}}`, "services: {idle: {queue: x}}", "[",
	}
	merger := &Merger{}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 6).Draw(t, "count")
		files := make([]File, count)
		for i := range files {
			files[i] = File{
				Name:    rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name") + ".yaml",
				Content: []byte(rapid.SampledFrom(pieces).Draw(t, "piece")),
			}
		}
		config, found := Merge(3, files)
		mergedAgain, foundAgain := merger.Merge(3, rapid.Permutation(files).Draw(t, "order"))
		if !reflect.DeepEqual(found, foundAgain) || !reflect.DeepEqual(config, mergedAgain) {
			t.Fatalf("got %v %v, want the first result %v %v", mergedAgain, foundAgain, config, found)
		}
		if (config == nil) != (len(found) > 0) {
			t.Fatalf("got config %v with faults %v, want one of them", config, found)
		}
	})
}

func FuzzMerge(f *testing.F) {
	for _, seed := range []string{
		base, "", "services:", "services: null", "- - - a", "? a\n: b", "a: &x [*x]", "%YAML 1.1\n--- {}", "a: !!binary x",
		"services: {a: {targets: {b: {address: \"[::]:0\"}}}}", "a: |\n  b\n c", "<<: {a: b}", "\"\\x", "a: 'b\n\n'\n...", "{a: [}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		config, found := Merge(1, []File{{Name: "00.yaml", Content: []byte(base)}, {Name: "01.yaml", Content: content}})
		if (config == nil) != (len(found) > 0) {
			t.Fatalf("got config %v with faults %v, want one of them", config, found)
		}
	})
}
