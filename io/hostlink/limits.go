package hostlink

import "pineturn/core/ratelimit"

// limitFeed is what the feeds on one link say of the limits of targets.
type limitFeed struct {
	next func(host string, told *ratelimit.Told) ratelimit.Update
	told ratelimit.Told
}

// update returns the limits of the next feed to a host, and whether those of earlier feeds
// still hold. A host that does not follow limits is told all of them each time, one that has
// not said its address yet none.
func (f *limitFeed) update(host string, follows bool) (limits []ratelimit.Share, continues bool) {
	if host == "" {
		return nil, false
	}
	if !follows {
		f.told = ratelimit.Told{}
	}
	update := f.next(host, &f.told)
	return update.Shares, update.Continues
}
