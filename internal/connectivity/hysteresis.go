package connectivity

import (
	"net/http"
	"time"
)

// flapWindow is how soon after it came back a link that fails again has to hold longer each time.
const flapWindow = 30 * time.Second

// linkHysteresis is the hysteresis of a link: one that was lost is back when it was heard for a
// time without a gap, and for twice as long each time when it is lost again within half a minute.
type linkHysteresis struct {
	lost           bool
	upSince        time.Duration // since when it is heard again; 0: not
	requiredUptime time.Duration // for how long it must be
	restoredAt     time.Duration // when it last was back
}

// fail takes a gap; first and most bound how long the link must be heard after it. It tells
// whether the link is lost by it.
func (l *linkHysteresis) fail(now, minimum, maximum time.Duration) bool {
	l.upSince = 0
	if l.lost {
		return false
	}
	l.lost = true
	l.requiredUptime = min(2*l.requiredUptime, maximum)
	if l.requiredUptime < minimum || now-l.restoredAt > flapWindow {
		l.requiredUptime = minimum
	}
	return true
}

// observe takes that the link was heard, and tells whether it is back with that.
func (l *linkHysteresis) observe(now time.Duration) bool {
	if !l.lost {
		return false
	}
	if l.upSince == 0 {
		l.upSince = now
	}
	if now-l.upSince < l.requiredUptime {
		return false
	}
	l.lost, l.restoredAt = false, now
	return true
}

// isServiceAnswer tells whether a status is a service's own answer: 503 is what a controller gets
// that is refused, and in an outage; 0 is no answer.
func isServiceAnswer(status int) bool { return status != 0 && status != http.StatusServiceUnavailable }
