package main

import (
	"time"

	"silvergate/internal/metrics"
)

// serveMetrics answers a request for the metrics; false if they are off or can't be
// rendered. The lock must be held.
func (n *controller) serveMetrics(id uint64) bool {
	if n.metricsPage == nil {
		return false
	}
	contentType, body, err := n.metricsPage.Render()
	if err != nil {
		n.log.Error("metrics can't be shown", "error", err)
		return false
	}
	n.server.AnswerAs(id, contentType, body)
	return true
}

// currentMetrics are the controller's currentMetrics for GET /metrics.
func (n *controller) currentMetrics() []metrics.Figure {
	s := &n.core.Stats
	figures := []metrics.Figure{
		gauge("longest_step_seconds", "The longest step so far.", s.LongestStepMS/1000),
		gauge("uptime_seconds", "Time since the start.", time.Since(n.start).Seconds()),
		counter("submitted", "Jobs accepted.", s.Submitted),
		counter("cancelled", "Jobs cancelled.", s.Cancelled),
		counter("checkins", "Reports taken.", s.Heartbeats),
		counter("claims", "Claims written.", s.Claims),
		counter("adopted", "Workers gone on with.", s.Adopted),
		counter("placements", "Tasks placed.", s.Placements),
		counter("endings", "Endings committed.", s.Completions),
		counter("conflicts", "Transactions that others were ahead of.", s.Conflicts),
		counter("forwards", "Tasks handed to peers.", s.Handoffs),
		counter("preemptions", "Tasks stopped for others.", s.Preemptions),
		counter("rented", "Machines rented.", s.MachinesRented),
		counter("deleted", "Machines returned.", s.MachinesDeleted),
		counter("unavailable", "Requests answered with 503.", s.Unavailable),
	}
	return append(figures, n.connectionMetrics()...)
}

func (n *controller) connectionMetrics() []metrics.Figure {
	s := n.server.ConnLimiter.Stats()
	return []metrics.Figure{
		gauge("connections", "Connections open for requests.", float64(s.Open)),
		gauge("connections_workers", "Those of workers.", float64(s.Workers)),
		gauge("connections_limit", "How many may be open.", float64(s.Limit)),
		counter("connections_refused", "Connections refused as the limit was reached.", s.Refused),
		counter("connections_released", "Connections closed with an answer to make room.", s.Released),
	}
}

// metricPrefix begins the names of a controller's figures.
const metricPrefix = "controller_"

func gauge(name, help string, value float64) metrics.Figure {
	return metrics.Figure{Name: metricPrefix + name, Help: help, Value: value}
}

func counter(name, help string, value uint64) metrics.Figure {
	return metrics.Figure{Name: metricPrefix + name, Help: help, Value: float64(value), Count: true}
}
