package gateway

import (
	"fmt"
	"testing"
	"time"
)

// TestLeaderReadWait guards against watermarks that are too old when they arrive, so that all
// hosts read the store themselves, and against more reads by the leader than that takes.
func TestLeaderReadWait(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 10 * time.Second} {
		for _, feed := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(fmt.Sprint(bound, " feeds each ", feed), func(t *testing.T) {
				age := relayAge(bound)
				if age >= bound {
					t.Errorf("age up to which a host relies on the relay: got %v, want less than the bound %v", age, bound)
				}
				wait := leaderReadWait(age, feed)
				oldest := time.Duration(readOverlap*float64(wait)) + feed
				if bound >= 2*time.Second && oldest >= age {
					t.Errorf("age of a watermark when the next one arrives: got %v, want less than %v", oldest, age)
				}
				if wait < minLeaderReadWait || wait > hostReadWait {
					t.Errorf("wait: got %v, want %v to %v", wait, minLeaderReadWait, hostReadWait)
				}
			})
		}
	}
}
