package admission

import "time"

// limiter is how many requests may run at once. It never exceeds the slots.
// A shed cuts it by a factor, time lets it grow again; sheds of a lone
// request pause all sending for a short while.
type limiter struct {
	options Options
	slots   int
	// limit is as of since; it grows by one slot each recovery time.
	limit float64
	since time.Time
	// row counts sheds since the target last served a request.
	row   int
	until time.Time
}

func newLimiter(options Options) limiter {
	slots := max(options.Slots, 1)
	return limiter{options: options, slots: slots, limit: float64(slots)}
}

// allowed returns the present limit, at least one.
func (l *limiter) allowed(now time.Time) int {
	return max(int(l.level(now)), 1)
}

func (l *limiter) level(now time.Time) float64 {
	grown := l.limit
	if !l.since.IsZero() {
		grown += float64(now.Sub(l.since)) / float64(l.options.Recovery)
	}
	return min(grown, float64(l.slots))
}

func (l *limiter) paused(now time.Time) bool { return now.Before(l.until) }

func (l *limiter) pauseLeft(now time.Time) time.Duration { return max(l.until.Sub(now), 0) }

// open reports whether one more request may start.
func (l *limiter) open(now time.Time, running int) bool {
	return !l.paused(now) && running < l.allowed(now)
}

// next returns when open may turn true without a slot being freed.
func (l *limiter) next(now time.Time, running int) (time.Time, bool) {
	if running >= l.slots {
		return time.Time{}, false
	}
	at := now
	if missing := float64(running+1) - l.level(now); missing > 0 && running > 0 {
		at = now.Add(time.Duration(missing*float64(l.options.Recovery)) + 1)
	}
	if l.until.After(at) {
		at = l.until
	}
	return at, true
}

// shed lowers the limit. The target had a slot for each request that still
// runs, so the limit stays at these or above.
func (l *limiter) shed(now time.Time, stillRunning int, after time.Duration) {
	l.limit = max(l.level(now)*l.options.Cut, 1, float64(min(stillRunning, l.slots)))
	l.since = now
	l.row++
	if stillRunning > 0 && l.row < l.slots {
		return
	}
	pause := min(max(l.pace(), after), l.options.MaxPause)
	if until := now.Add(pause); until.After(l.until) {
		l.until = until
	}
}

// pace is the pause after each request while the target sheds them all, and
// zero otherwise.
func (l *limiter) pace() time.Duration {
	if l.row == 0 {
		return 0
	}
	shift := min(l.row-1, 16)
	return min(l.options.Pause<<shift, l.options.MaxPause)
}

func (l *limiter) served(time.Time) {
	l.row = 0
	l.until = time.Time{}
}

func (l *limiter) warm(now time.Time) { l.limit, l.since = 1, now }

func (l *limiter) setSlots(now time.Time, slots int) {
	slots = max(slots, 1)
	if slots == l.slots {
		return
	}
	l.limit, l.since = l.level(now), now
	l.slots = slots
	l.limit = min(l.limit, float64(slots))
}
