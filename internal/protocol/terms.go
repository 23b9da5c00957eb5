package protocol

import "silvergate/internal/job"

// Wire names of priorities.
const (
	priorityProduction = "prod"
	priorityHigh       = "urgent"
	priorityNormal     = "standard"
	priorityLow        = "idle"
)

var priorities = map[string]job.Priority{
	priorityProduction: job.Production,
	priorityHigh:       job.High,
	priorityNormal:     job.Normal,
	priorityLow:        job.Low,
}

var shapes = map[string]job.Shape{
	"batch":    job.Array,
	"ensemble": job.Gang,
	"standing": job.Service,
}

// PriorityByName returns the priority with a wire name, or the lowest if the name is unknown.
func PriorityByName(name string) job.Priority { return priorities[name] }

// PriorityName returns the wire name of a priority, or "" if it has none.
func PriorityName(priority job.Priority) string { return nameOf(priority, priorities) }

// ShapeName returns the wire name of a shape, or "" if it has none.
func ShapeName(shape job.Shape) string { return nameOf(shape, shapes) }

// IsUrgent reports whether a wire name is that of one of the two highest priorities: of
// work that people or services wait for.
func IsUrgent(priority string) bool {
	return priority == priorityProduction || priority == priorityHigh
}

// nameOf returns the wire name of a value, or "" if it has none. No value has more than
// one.
func nameOf[T comparable](value T, values map[string]T) string {
	for name, candidate := range values {
		if candidate == value {
			return name
		}
	}
	return ""
}

func validPriority(name string) bool {
	_, known := priorities[name]
	return known
}
