package main

import (
	"time"

	"silvergate/internal/metrics"
)

// serveMetrics answers a request for the metrics and returns true, or returns false without an
// answer if metrics are off or can't be rendered. The lock must be held.
func (n *controller) serveMetrics(id uint64) bool {
	if n.metricsRenderer == nil {
		return false
	}
	contentType, body, err := n.metricsRenderer.Render()
	if err != nil {
		n.log.Error("can't render the metrics", "error", err)
		return false
	}
	n.server.AnswerWithType(id, contentType, body)
	return true
}

// currentMetrics returns the controller's metrics with their current values, for GET /metrics.
func (n *controller) currentMetrics() []metrics.Metric {
	s := &n.core.Stats
	list := []metrics.Metric{
		gauge("longest_step_seconds", "The longest step so far.", s.LongestStepMS/1000),
		gauge("uptime_seconds", "Time since the start.", time.Since(n.start).Seconds()),
		counter("submitted", "Jobs accepted.", s.Submitted),
		counter("cancelled", "Jobs cancelled.", s.Cancelled),
		counter("checkins", "Heartbeats handled.", s.Heartbeats),
		counter("claims", "Claims written.", s.Claims),
		counter("adopted", "Workers adopted with the attempts that they run.", s.Adopted),
		counter("direct_launches", "Launches sent by direct commands.", s.DirectLaunches),
		counter("tokens_raised", "Fencing tokens raised above the claim's, without a write.", s.TokensRaised),
		counter("forgets", "Commands to forget an ended attempt.", s.Forgets),
		counter("releases", "Releases proposed on a proof other than the attempt's end.", s.Releases),
		counter("unbound_attempts", "Stops of live attempts that the records don't bind to their machine.", s.UnboundAttempts),
		counter("placements", "Tasks placed.", s.Placements),
		counter("endings", "Ends of attempts committed.", s.Completions),
		counter("conflicts", "Transactions rejected because a compared key had changed.", s.Conflicts),
		counter("forwards", "Tasks handed off to peers.", s.Handoffs),
		counter("preemptions", "Tasks preempted for others.", s.Preemptions),
		counter("rented", "Machines rented.", s.MachinesRented),
		counter("deleted", "Machines returned.", s.MachinesDeleted),
		counter("deleted_unshipped", "Machines returned although output may have waited to be archived.", s.UnshippedDeletions),
		counter("unavailable", "Requests answered with 503.", s.Unavailable),
	}
	return append(list, n.connectionMetrics()...)
}

func (n *controller) connectionMetrics() []metrics.Metric {
	s := n.server.ConnLimiter.Stats()
	return []metrics.Metric{
		gauge("connections", "Connections open for requests.", float64(s.Open)),
		gauge("connections_workers", "Open connections of workers.", float64(s.Workers)),
		gauge("connections_limit", "Limit of open connections.", float64(s.Limit)),
		counter("connections_refused", "Connections refused because the limit was reached.", s.Refused),
		counter("connections_released", "Connections closed with an answer to make room.", s.Released),
	}
}

// metricPrefix is the prefix of the names of a controller's metrics.
const metricPrefix = "controller_"

func gauge(name, help string, value float64) metrics.Metric {
	return metrics.Metric{Name: metricPrefix + name, Help: help, Value: value}
}

func counter(name, help string, value uint64) metrics.Metric {
	return metrics.Metric{Name: metricPrefix + name, Help: help, Value: float64(value), IsCounter: true}
}
