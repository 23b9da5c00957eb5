package connectivity

import (
	"net/http"
	"time"
)

// flapWindow is the time after a link is restored within which another loss doubles its required
// uptime.
const flapWindow = 30 * time.Second

// linkHysteresis delays the return of a lost link: the link is restored once it has been heard
// without a gap for requiredUptime, which doubles each time that the link is lost again within
// flapWindow.
type linkHysteresis struct {
	lost           bool
	upSince        time.Duration // when the link was first heard after its last gap; 0: not heard since
	requiredUptime time.Duration // how long the link must be heard before it is restored
	restoredAt     time.Duration // when the link was last restored
}

// fail records a gap and reports whether the link became lost by it. The required uptime after
// the gap is at least minimum and at most maximum.
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

// observe records that the link was heard and reports whether that restores it.
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

// isServiceAnswer reports whether a status is a service's own answer. 503 is not: a controller gets 503
// when its requests are refused and in an outage. 0 means no answer.
func isServiceAnswer(status int) bool { return status != 0 && status != http.StatusServiceUnavailable }
