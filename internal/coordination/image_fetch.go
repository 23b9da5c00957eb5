package coordination

import (
	"silvergate/internal/job"
)

// fetchTime returns how long a task would wait for its image and its inputs on a machine, in
// seconds. Concurrent image pulls share the machine's bandwidth.
func (c *Core) fetchTime(s *job.Spec, m *machine) float64 {
	return max(c.imageTime(s, m), c.staging.expectedWait(s, m))
}

// imageTime returns how long a task would wait for its image on a machine, in seconds.
func (c *Core) imageTime(s *job.Spec, m *machine) float64 {
	machineType := c.machineTypeOf(m)
	if at, ok := m.imageReadyAt[s.Image]; ok {
		return max(0, (at - c.now).Seconds())
	}
	if machineType.ImagePullGBPerS <= 0 {
		return 0
	}
	pulls := 1.0
	for _, at := range m.imageReadyAt {
		if at > c.now {
			pulls++
		}
	}
	return pulls * s.ImageGB / machineType.ImagePullGBPerS
}

// recordImagePull records when a machine will have an image that it starts to pull now.
func (c *Core) recordImagePull(m *machine, s *job.Spec) {
	if _, ok := m.imageReadyAt[s.Image]; !ok {
		m.imageReadyAt[s.Image] = c.now + seconds(c.imageTime(s, m))
	}
}
