package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// slope is a measured cost, such as the processor time of a report, with the number of points
// that were measured and the command that measured them.
type slope struct {
	Median  float64 `yaml:"median"`
	Min     float64 `yaml:"least"`
	Max     float64 `yaml:"most"`
	Points  int     `yaml:"points"`
	Command string  `yaml:"command"`
}

// requirements are the size of the system and the limits that the operators have named.
type requirements struct {
	Workers                    float64 `yaml:"workers"`
	Accelerators               float64 `yaml:"accelerators"`
	JobsPerDay                 float64 `yaml:"jobs_a_day"`
	StartsPerSecond            float64 `yaml:"starts_a_second"`
	TasksRunning               float64 `yaml:"tasks_running"`
	LargestGang                float64 `yaml:"largest_gang"`
	Teams                      float64 `yaml:"teams"`
	UrgentWithinSeconds        float64 `yaml:"urgent_within_s"`
	Regions                    float64 `yaml:"regions"`
	Zones                      float64 `yaml:"zones"`
	ConfigurationChangesPerDay float64 `yaml:"configuration_changes_a_day"`
	ConfigurationWithinSeconds float64 `yaml:"configuration_within_s"`
	WorkerCoreShare            float64 `yaml:"worker_core_share"`
	WorkerMB                   float64 `yaml:"worker_mb"`
	WorkerBytesPerSecond       float64 `yaml:"worker_bytes_a_second"`
	ControlMachines            float64 `yaml:"control_machines"`
	MachineFailuresPerDay      float64 `yaml:"machines_fail_a_day"`
	MachineRestartsPerDay      float64 `yaml:"machines_restart_a_day"`
}

// assumptions are the inputs that are not measured.
type assumptions struct {
	ReportSeconds          float64 `yaml:"report_s"`
	LeaseSeconds           float64 `yaml:"lease_s"`
	StateChangesPerSecond  float64 `yaml:"state_changes_a_second"`
	StateRequestsPerSecond float64 `yaml:"state_requests_a_second"`
	ControllersPerCell     float64 `yaml:"controllers_of_a_cell"`
	Groups                 float64 `yaml:"groups"`
	ZonesPerHolder         float64 `yaml:"zones_of_a_holder"`
}

// model holds all inputs of the tables.
type model struct {
	Requirements requirements     `yaml:"letter"`
	Assumptions  assumptions      `yaml:"assumptions"`
	Slopes       map[string]slope `yaml:"slopes"`
}

// requiredSlopes are the slopes that the tables use.
var requiredSlopes = []string{"report_us", "watched_page_us", "submission_us", "takeover_us_a_worker", "start_us_a_record", "processor_ms_a_start",
	"changes_a_start", "requests_a_start", "controller_kb_a_worker", "controller_base_mb", "worker_bytes_a_second", "job_over_kb"}

// size is the load of one cell, a column of the table of sizes. It may be one cell that serves all regions.
type size struct {
	name                                 string
	workers, starts, running, jobsPerDay float64
}

// sizes returns the sizes of cells that the table of sizes shows.
func (m *model) sizes() []size {
	l, n := &m.Requirements, m.Requirements.Regions
	average := size{"average cell", l.Workers / n, l.StartsPerSecond / n, l.TasksRunning / n, l.JobsPerDay / n}
	twice := size{"cell of twice the average", 2 * average.workers, 2 * average.starts, 2 * average.running, 2 * average.jobsPerDay}
	return []size{average, twice, {"one cell of all", l.Workers, l.StartsPerSecond, l.TasksRunning, l.JobsPerDay}}
}

// median returns the median of a slope.
func (m *model) median(name string) float64 { return m.Slopes[name].Median }

// row is a row of the table of sizes: its label, and its value for a size.
type row struct {
	label string
	value func(s size) string
}

// rows returns the rows of the table of sizes: the demands of one cell, each with its limit.
func (m *model) rows() []row {
	a := &m.Assumptions
	formatted := func(format string, value func(size) float64) func(size) string {
		return func(s size) string { return fmt.Sprintf(format, value(s)) }
	}
	changes := func(s size) float64 { return s.starts * m.median("changes_a_start") }
	requests := func(s size) float64 { return s.starts * m.median("requests_a_start") }
	claimsOneByOne := func(s size) float64 { return s.workers / a.ControllersPerCell }
	claimsByGroup := func(size) float64 { return a.Groups * a.ZonesPerHolder }
	return []row{
		{"workers; task starts a second; tasks running", func(s size) string {
			return fmt.Sprintf("%.0f; %.0f; %.0f", s.workers, s.starts, s.running)
		}},
		{"changes a second for starts and endings", formatted("%.0f", changes)},
		{fmt.Sprintf("factor left of the %.0f granted", a.StateChangesPerSecond), formatted("%.2f", func(s size) float64 {
			return a.StateChangesPerSecond / changes(s)
		})},
		{"requests a second", formatted("%.0f", requests)},
		{fmt.Sprintf("factor left of the %.0f granted", a.StateRequestsPerSecond), formatted("%.2f", func(s size) float64 {
			return a.StateRequestsPerSecond / requests(s)
		})},
		{"reports a second", formatted("%.0f", func(s size) float64 { return s.workers / a.ReportSeconds })},
		{"of them, processor of each controller, ms a second", formatted("%.1f", func(s size) float64 {
			return s.workers / a.ReportSeconds * m.median("report_us") / 1000 / a.ControllersPerCell
		})},
		{"watched pages, processor of each controller, ms a second", formatted("%.1f", func(size) float64 {
			return a.StateChangesPerSecond * m.median("watched_page_us") / 1000
		})},
		{"processor of each controller, all, ms a second", formatted("%.0f", func(s size) float64 {
			return s.starts * m.median("processor_ms_a_start") / a.ControllersPerCell
		})},
		{"memory of a controller, MB, without jobs that are over", formatted("%.0f", func(s size) float64 {
			return m.median("controller_base_mb") + s.workers*m.median("controller_kb_a_worker")/1024
		})},
		{"jobs that are over: MB a day; GB a year", func(s size) string {
			day := s.jobsPerDay * m.median("job_over_kb") / 1024
			return fmt.Sprintf("%.0f; %.1f", day, day*365/1024)
		}},
		{"a start of a controller reads a day's jobs that are over in s (two records each); a year's", func(s size) string {
			day := s.jobsPerDay * 2 * m.median("start_us_a_record") / 1e6
			return fmt.Sprintf("%.2f; %.0f", day, day*365)
		}},
		{"a controller ends: claims one by one, changes; s at the rate", func(s size) string {
			return fmt.Sprintf("%.0f; %.1f", claimsOneByOne(s), claimsOneByOne(s)/a.StateChangesPerSecond)
		}},
		{"the same by the group, changes; s; factor", func(s size) string {
			return fmt.Sprintf("%.0f; %.2f; %.0f", claimsByGroup(s), claimsByGroup(s)/a.StateChangesPerSecond, claimsOneByOne(s)/claimsByGroup(s))
		}},
		{"a cell's first claims, or of all its workers at once, s", formatted("%.1f", func(s size) float64 { return s.workers / a.StateChangesPerSecond })},
	}
}

// tables returns both tables, of sizes and of slopes, as Markdown.
func (m *model) tables() string {
	var b strings.Builder
	sizes := m.sizes()
	b.WriteString("\n| worked out |")
	for _, s := range sizes {
		fmt.Fprintf(&b, " %s |", s.name)
	}
	b.WriteString("\n| --- |" + strings.Repeat(" --- |", len(sizes)) + "\n")
	for _, r := range m.rows() {
		fmt.Fprintf(&b, "| %s |", r.label)
		for _, s := range sizes {
			fmt.Fprintf(&b, " %s |", r.value(s))
		}
		b.WriteString("\n")
	}
	b.WriteString("\n| slope, measured | median | least to most | points | command |\n| --- | --- | --- | --- | --- |\n")
	for _, name := range slices.Sorted(maps.Keys(m.Slopes)) {
		s := m.Slopes[name]
		fmt.Fprintf(&b, "| `%s` | %g | %g to %g | %d | %s |\n", name, s.Median, s.Min, s.Max, s.Points, s.Command)
	}
	b.WriteString("\n")
	return b.String()
}
