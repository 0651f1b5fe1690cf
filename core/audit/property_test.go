package audit_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pineturn/core/audit"
)

// handover is the time at which the owner changes, and how: by a release, a
// lapse that the target notices late, or a restart.
type handover struct {
	at    int64
	how   string
	runs  int
	gap   int64
	renew bool
}

// history hands one shard from target to target, runs requests in between,
// and leaves a gap of at least a millisecond between two owners.
func history(changes []handover) []*script {
	scripts := []*script{target("a"), target("b"), target("c")}
	from := int64(0)
	for i, change := range changes {
		owner := scripts[i%len(scripts)]
		to := from + change.at
		expires := to + 1000
		if change.how == "lapse" {
			expires = to
		}
		owner.grant(from, from+1, piece(uint64(i+1), ""))
		owner.entries[len(owner.entries)-1].Grant.ExpiresUs = expires * 1e3
		for run := range int64(change.runs) {
			owner.run(string(rune('a'+i))+string(rune('0'+run)), from+run*change.at/9, from+(run+1)*change.at/9)
		}
		if change.renew {
			owner.renew(to-1, expires)
		}
		switch change.how {
		case "release":
			owner.grant(to, expires)
		case "lapse":
			owner.lapsed(to)
		case "restart":
			owner.restarted(to)
		}
		from = to + change.gap
	}
	return scripts
}

func draw(t *rapid.T) []handover {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) handover {
		return handover{
			at:    rapid.Int64Range(9, 500).Draw(t, "at"),
			how:   rapid.SampledFrom([]string{"release", "lapse", "restart"}).Draw(t, "how"),
			runs:  rapid.IntRange(1, 9).Draw(t, "runs"),
			gap:   rapid.Int64Range(1, 50).Draw(t, "gap"),
			renew: rapid.Bool().Draw(t, "renew"),
		}
	}), 2, 12).Draw(t, "changes")
}

func TestHonestHistoriesAreClean(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report, err := check(history(draw(t)), nil)
		if err != nil || len(report.Findings) > 0 {
			t.Fatalf("got %+v, %v, want none", report.Findings, err)
		}
	})
}

func TestEarlyGrantsAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := draw(t)
		scripts := history(changes)
		early := rapid.IntRange(1, len(changes)-1).Draw(t, "early")
		owner := scripts[early%len(scripts)]
		epoch := uint64(early + 1)
		i := slices.IndexFunc(owner.entries, func(entry audit.Entry) bool {
			return entry.Kind == audit.Granted && len(entry.Grant.Shards) > 0 && entry.Grant.Shards[0].Epoch == epoch
		})
		shift := (changes[early-1].gap + 1) * 1e6
		owner.entries[i].WallNs -= shift
		owner.entries[i].ClockUs -= shift / 1e3
		report, err := check(scripts, nil)
		if err != nil || !slices.ContainsFunc(report.Findings, func(f audit.Finding) bool { return f.Problem == audit.TwoOwners }) {
			t.Fatalf("got %+v, %v, want two owners", report.Findings, err)
		}
	})
}
