package main

import (
	"encoding/json"
	"time"
)

// foreignEntry: another writer puts an entry beside those of the backends, with a service that no
// configuration names, and the address of a backend.
func foreignEntry(b *bed) error {
	s := service{name: "recordsvault", keyed: true}
	keys := spreadKeys(12)
	clients, err := b.keyedBed(s, 3, 4, 300*time.Millisecond, keys)
	if err != nil {
		return err
	}
	end := loops(clients, 20*time.Millisecond)
	time.Sleep(5 * time.Second)
	if b.trouble {
		t := b.backends[0]
		entry, err := json.Marshal(map[string]any{
			"address": t.address, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "node-agent", "version": "v1", "zone": t.zone, "capacity": 1},
			"status": map[string]any{"state": "ready", "sequence": 1, "warmup_left_s": 0},
		})
		if err != nil {
			return err
		}
		b.store.PutTarget("agent-"+t.id, entry)
		b.record.printf("another writer puts the entry agent-%s: %s", t.id, entry)
	}
	time.Sleep(5 * time.Second)
	end()
	time.Sleep(time.Second)
	return b.judgeOwners(keys, b.allRuns())
}
