package admission

import "time"

// limiter is the adaptive concurrency limit of a target, at most the number of its
// slots. Each shed request multiplies the limit by Options.DecreaseFactor, and the
// limit grows by one slot per Options.Recovery. If the target sheds a request while
// no other one runs, or slots requests in a row, the limiter pauses all sends for a
// short time.
type limiter struct {
	options Options
	slots   int
	// limitAtChange is the limit at changedAt.
	limitAtChange float64
	changedAt     time.Time
	// consecutiveSheds counts the shed requests since the target last served one.
	consecutiveSheds int
	pausedUntil      time.Time
}

func newLimiter(options Options) limiter {
	slots := max(options.Slots, 1)
	return limiter{options: options, slots: slots, limitAtChange: float64(slots)}
}

// limit returns the current limit, at least 1.
func (l *limiter) limit(now time.Time) int {
	return max(int(l.exactLimit(now)), 1)
}

func (l *limiter) exactLimit(now time.Time) float64 {
	grown := l.limitAtChange
	if !l.changedAt.IsZero() {
		grown += float64(now.Sub(l.changedAt)) / float64(l.options.Recovery)
	}
	return min(grown, float64(l.slots))
}

func (l *limiter) paused(now time.Time) bool { return now.Before(l.pausedUntil) }

func (l *limiter) pauseLeft(now time.Time) time.Duration { return max(l.pausedUntil.Sub(now), 0) }

// canStart reports whether one more request may start.
func (l *limiter) canStart(now time.Time, running int) bool {
	return !l.paused(now) && running < l.limit(now)
}

// nextStart returns the earliest time at which canStart can become true without a
// slot being freed. It returns false if all slots are in use.
func (l *limiter) nextStart(now time.Time, running int) (time.Time, bool) {
	if running >= l.slots {
		return time.Time{}, false
	}
	at := now
	if missing := float64(running+1) - l.exactLimit(now); missing > 0 && running > 0 {
		at = now.Add(time.Duration(missing*float64(l.options.Recovery)) + 1)
	}
	if l.pausedUntil.After(at) {
		at = l.pausedUntil
	}
	return at, true
}

// onShed lowers the limit after a shed request. The limit does not fall below
// stillRunning, because the target had a slot for each of these requests. after is
// the time after which the target asked for a retry.
func (l *limiter) onShed(now time.Time, stillRunning int, after time.Duration) {
	l.limitAtChange = max(l.exactLimit(now)*l.options.DecreaseFactor, 1, float64(min(stillRunning, l.slots)))
	l.changedAt = now
	l.consecutiveSheds++
	if stillRunning > 0 && l.consecutiveSheds < l.slots {
		return
	}
	pause := min(max(l.shedPause(), after), l.options.MaxPause)
	if until := now.Add(pause); until.After(l.pausedUntil) {
		l.pausedUntil = until
	}
}

// shedPause returns the pause after each request while the target sheds all
// requests, otherwise 0.
func (l *limiter) shedPause() time.Duration {
	if l.consecutiveSheds == 0 {
		return 0
	}
	shift := min(l.consecutiveSheds-1, 16)
	return min(l.options.InitialPause<<shift, l.options.MaxPause)
}

func (l *limiter) onServed(time.Time) {
	l.consecutiveSheds = 0
	l.pausedUntil = time.Time{}
}

func (l *limiter) warmUp(now time.Time) { l.limitAtChange, l.changedAt = 1, now }

func (l *limiter) setSlots(now time.Time, slots int) {
	slots = max(slots, 1)
	if slots == l.slots {
		return
	}
	l.limitAtChange, l.changedAt = l.exactLimit(now), now
	l.slots = slots
	l.limitAtChange = min(l.limitAtChange, float64(slots))
}
