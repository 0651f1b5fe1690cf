package hostlink

import (
	"testing"
	"time"

	"pineturn/core/hostcount"
	"pineturn/core/ratelimit"
)

// TestLimitsToOtherBuilds guards against hosts of an earlier build, whose parts end because
// they are told of changes only, and against parts of a host that is not known yet.
func TestLimitsToOtherBuilds(t *testing.T) {
	divider := ratelimit.NewDivider(hostcount.New())
	now := time.Unix(1000, 0)
	divider.SetLeading(true, now)
	limit := ratelimit.Limit{Named: true, PerSecond: 2}
	divider.AddReport("10.0.0.1:7200", []ratelimit.Observation{{Target: "t1", Limit: limit, Demand: 1}}, now)
	feed := limitFeed{next: func(host string, told *ratelimit.Told) ratelimit.Update { return divider.Update(host, told, 1, now) }}
	for _, c := range []struct {
		name      string
		host      string
		follows   bool
		shares    int
		continues bool
	}{
		{"unknown host", "", false, 0, false},
		{"earlier build", "10.0.0.1:7200", false, 1, false},
		{"earlier build, again", "10.0.0.1:7200", false, 1, false},
		{"this build", "10.0.0.1:7200", true, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			shares, continues := feed.update(c.host, c.follows)
			if len(shares) != c.shares || continues != c.continues {
				t.Errorf("limits: got %d, continues %t, want %d, %t", len(shares), continues, c.shares, c.continues)
			}
		})
	}
}
