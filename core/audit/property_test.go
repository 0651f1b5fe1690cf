package audit_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pineturn/core/audit"
)

// handover is a change of owner. Its cause is a release, an expiry that the
// target detects late, or a restart. Times are in milliseconds.
type handover struct {
	// duration is the length of the ownership that the handover ends.
	duration int64
	cause    string
	runs     int
	// gap is the time until the next owner's grant.
	gap   int64
	renew bool
}

// history returns the audits of three targets that own one shard in turn and run
// requests for it.
func history(changes []handover) []*script {
	scripts := []*script{target("a"), target("b"), target("c")}
	from := int64(0)
	for i, change := range changes {
		owner := scripts[i%len(scripts)]
		to := from + change.duration
		expires := to + 1000
		if change.cause == "expiry" {
			expires = to
		}
		owner.grant(from, from+1, shardAt(uint64(i+1), ""))
		owner.entries[len(owner.entries)-1].Grant.ExpiresUs = expires * 1e3
		for run := range int64(change.runs) {
			owner.run(string(rune('a'+i))+string(rune('0'+run)), from+run*change.duration/9, from+(run+1)*change.duration/9)
		}
		if change.renew {
			owner.renew(to-1, expires)
		}
		switch change.cause {
		case "release":
			owner.grant(to, expires)
		case "expiry":
			owner.expired(to)
		case "restart":
			owner.restarted(to)
		}
		from = to + change.gap
	}
	return scripts
}

func drawHandovers(t *rapid.T) []handover {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) handover {
		return handover{
			duration: rapid.Int64Range(9, 500).Draw(t, "at"),
			cause:    rapid.SampledFrom([]string{"release", "expiry", "restart"}).Draw(t, "cause"),
			runs:     rapid.IntRange(1, 9).Draw(t, "runs"),
			gap:      rapid.Int64Range(1, 50).Draw(t, "gap"),
			renew:    rapid.Bool().Draw(t, "renew"),
		}
	}), 2, 12).Draw(t, "changes")
}

// TestValidHistoriesHaveNoFindings guards against false findings. Owners change
// in all ways that are allowed, with a gap of at least 1 ms between two owners.
func TestValidHistoriesHaveNoFindings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report, err := check(history(drawHandovers(t)), nil)
		if err != nil || len(report.Findings) > 0 {
			t.Fatalf("got %+v, %v, want none", report.Findings, err)
		}
	})
}

// TestOverlappingGrantsAreFound guards against missed findings. In a valid
// history, one grant is moved to 1 ms before the previous ownership ends.
func TestOverlappingGrantsAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := drawHandovers(t)
		scripts := history(changes)
		earlyIndex := rapid.IntRange(1, len(changes)-1).Draw(t, "earlyIndex")
		owner := scripts[earlyIndex%len(scripts)]
		epoch := uint64(earlyIndex + 1)
		i := slices.IndexFunc(owner.entries, func(entry audit.Entry) bool {
			return entry.Kind == audit.Granted && len(entry.Grant.Shards) > 0 && entry.Grant.Shards[0].Epoch == epoch
		})
		shift := (changes[earlyIndex-1].gap + 1) * 1e6
		owner.entries[i].WallNs -= shift
		owner.entries[i].ClockUs -= shift / 1e3
		report, err := check(scripts, nil)
		if err != nil || !slices.ContainsFunc(report.Findings, func(f audit.Finding) bool { return f.Problem == audit.TwoOwners }) {
			t.Fatalf("got %+v, %v, want two owners", report.Findings, err)
		}
	})
}
