package metastore

import (
	"fmt"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/placement"
	"pineturn/platform"
)

const otherService = "node-agent"

// configWith returns a configuration that names services without keys.
func configWith(version int, services ...string) platform.Record {
	value := fmt.Appendf(nil, `{"version":%d,"routes":[],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},"services":[`, version)
	for i, name := range services {
		if i > 0 {
			value = append(value, ',')
		}
		value = fmt.Appendf(value, `{"name":%q,"max_connections":10,"sharding":false,"warm_s":0}`, name)
	}
	return platform.Record{Key: platform.KeyConfig, Value: append(value, "]}"...), Offset: int64(version)}
}

func entryOf(id, service string, born, sequence int64) platform.Record {
	value := fmt.Appendf(nil, `{"address":"10.0.0.1:80","born":%d,"info":{"service":%q,"zone":"a","capacity":2},`+
		`"status":{"state":"ready","sequence":%d,"warmup_left_s":0}}`, born, service, sequence)
	return platform.Record{Key: id, Value: value, Offset: born + sequence}
}

// TestEntryOfUnnamedService guards against a live target that is out of use for good, as an entry of
// another writer with its id names a service of no configuration and a later start.
func TestEntryOfUnnamedService(t *testing.T) {
	later := func(sequence int64) platform.Record {
		r := entryOf("t1", "s", 5, sequence)
		r.Offset = 20 + sequence
		return r
	}
	for _, x := range []struct {
		name string
		// steps are records, of which the last is followed by the end of entryRenewalTime.
		steps []platform.Record
		want  string
	}{
		{"under a live target's id", []platform.Record{configWith(1, "s"), entryOf("t1", "s", 5, 1), entryOf("t1", otherService, 9, 1), later(2)}, "t1 s 5"},
		{"before the first configuration", []platform.Record{entryOf("t1", "s", 5, 1), entryOf("t1", otherService, 9, 1), configWith(1, "s"), later(2)}, "t1 s 5"},
		{"under the id of a target that has ended", []platform.Record{configWith(1, "s"), entryOf("t1", "s", 5, 1), entryOf("t1", otherService, 9, 1)}, ""},
		{"under an id of its own", []platform.Record{configWith(1, "s"), entryOf("t2", otherService, 9, 1)}, ""},
		{"named later", []platform.Record{configWith(1, "s"), entryOf("t2", otherService, 9, 1), configWith(2, "s", otherService)}, "t2 node-agent 9"},
		{"named no more", []platform.Record{configWith(1, "s", otherService), entryOf("t2", otherService, 9, 1), configWith(2, "s"), entryOf("t2", otherService, 9, 2)}, "t2 node-agent 9"},
		{"deleted before it is named", []platform.Record{configWith(1, "s"), entryOf("t2", otherService, 9, 1), {Key: "t2", Offset: 11}, configWith(2, "s", otherService)}, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			fake := clock.NewFake(time.Unix(1000, 0))
			targets := placement.NewSet("a")
			catalog := NewCatalog(fake, targets)
			for i, r := range x.steps {
				if r.Key == platform.KeyConfig {
					catalog.applyConfig([]platform.Record{r}, false)
				} else {
					catalog.applyTargets([]platform.Record{r}, false)
				}
				if i == len(x.steps)-1 {
					fake.Advance(entryRenewalTime)
				}
				catalog.expire()
			}
			got := ""
			for _, e := range targets.Entries("") {
				got += fmt.Sprintf("%s %s %d", e.ID, e.Service, e.Born)
			}
			if got != x.want {
				t.Errorf("targets: got %q, want %q", got, x.want)
			}
		})
	}
	t.Run("not in the list of an era any more", func(t *testing.T) {
		targets := placement.NewSet("a")
		catalog := NewCatalog(clock.NewFake(time.Unix(1000, 0)), targets)
		catalog.applyConfig([]platform.Record{configWith(1, "s")}, false)
		catalog.applyTargets([]platform.Record{entryOf("t2", otherService, 9, 1)}, true)
		catalog.applyTargets(nil, true)
		catalog.applyConfig([]platform.Record{configWith(2, "s", otherService)}, false)
		wantTargets(t, targets, 0)
	})
}
