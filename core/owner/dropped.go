package owner

import "fmt"

// Reason is the reason why a former owner counts as holding nothing.
type Reason int

// Reasons, in the order in which they are tried.
const (
	// Ended: another target has answered an order at the address.
	Ended Reason = iota + 1
	// Released: the former owner has answered a release.
	Released
	// Expired: all leases have expired.
	Expired
	// Restarted: a later incarnation runs, and none was granted the keys.
	Restarted
)

// String returns the reason in lower case.
func (r Reason) String() string {
	switch r {
	case Ended:
		return "ended"
	case Released:
		return "released"
	case Expired:
		return "expired"
	case Restarted:
		return "restarted"
	}
	return fmt.Sprintf("reason %d", int(r))
}

// Dropped is a former owner of a range that no longer holds any of its keys.
type Dropped struct {
	Service     string
	First, Last uint16
	Owner       Incarnation
	// FencingToken is the token of the latest grant to the former owner.
	FencingToken int64
	Reason       Reason
}
