package plan

import (
	"testing"
	"time"

	"pineturn/core/fold"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// TestNewLeaseholderInheritsLoads checks that a target does not appear idle
// while its new leaseholder has measured its load only for a short time.
func TestNewLeaseholderInheritsLoads(t *testing.T) {
	target := record.Target{Service: "vault", Name: "t1"}
	measured := shard.ID{Service: "vault", Group: "all"}
	start := time.Unix(1000, 0)
	p := New(record.Incarnation{Host: "a", Run: 1})
	load := func(term uint64, reported float64, now time.Time) float64 {
		p.RecordReport(message.Report{Targets: []message.TargetReport{{
			Target: target, Term: term, Shards: []message.ShardLoad{{Shard: measured, Load: reported}},
		}}}, now)
		loads := map[shard.ID]float64{}
		p.addLoads(fold.New(), target, loads, nil)
		return loads[measured]
	}
	for _, step := range []struct {
		name     string
		term     uint64
		reported float64
		after    time.Duration
		want     float64
	}{
		{"measured", 1, 0.8, 0, 0.8},
		{"reported after a change of leaseholder", 2, 0.01, time.Second, 0.8},
		{"measured by the new leaseholder", 2, 0.3, time.Second + loadMeasuringTime, 0.3},
	} {
		t.Run(step.name, func(t *testing.T) {
			if got := load(step.term, step.reported, start.Add(step.after)); got != step.want {
				t.Errorf("got load %v, want %v", got, step.want)
			}
		})
	}
}
