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

// PriorityOf is the priority with a wire name, the lowest if there is none such.
func PriorityOf(name string) job.Priority { return priorities[name] }

// PriorityName is the wire name of a priority, "" if it has none.
func PriorityName(priority job.Priority) string { return nameOf(priority, priorities) }

// ShapeName is the wire name of a shape, "" if it has none.
func ShapeName(shape job.Shape) string { return nameOf(shape, shapes) }

// IsUrgent tells whether a priority's wire name is one of the two highest, whose work
// people or services wait for.
func IsUrgent(priority string) bool {
	return priority == priorityProduction || priority == priorityHigh
}

// nameOf finds the wire name of a value; each value has one at the most.
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
