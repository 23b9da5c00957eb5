package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// slope is a measured figure.
type slope struct {
	Median  float64 `yaml:"median"`
	Least   float64 `yaml:"least"`
	Most    float64 `yaml:"most"`
	Points  int     `yaml:"points"`
	Command string  `yaml:"command"`
}

// letter is the size that the operators have named.
type letter struct {
	Workers      float64 `yaml:"workers"`
	Accelerators float64 `yaml:"accelerators"`
	Jobs         float64 `yaml:"jobs_a_day"`
	Starts       float64 `yaml:"starts_a_second"`
	Running      float64 `yaml:"tasks_running"`
	Gang         float64 `yaml:"largest_gang"`
	Teams        float64 `yaml:"teams"`
	Urgent       float64 `yaml:"urgent_within_s"`
	Regions      float64 `yaml:"regions"`
	Zones        float64 `yaml:"zones"`
	Changes      float64 `yaml:"configuration_changes_a_day"`
	ChangeWithin float64 `yaml:"configuration_within_s"`
	CoreShare    float64 `yaml:"worker_core_share"`
	WorkerMB     float64 `yaml:"worker_mb"`
	WorkerBytes  float64 `yaml:"worker_bytes_a_second"`
	Machines     float64 `yaml:"control_machines"`
	FailADay     float64 `yaml:"machines_fail_a_day"`
	RestartsADay float64 `yaml:"machines_restart_a_day"`
}

// assumptions are what is not measured.
type assumptions struct {
	Report      float64 `yaml:"report_s"`
	Lease       float64 `yaml:"lease_s"`
	Changes     float64 `yaml:"state_changes_a_second"`
	Requests    float64 `yaml:"state_requests_a_second"`
	Controllers float64 `yaml:"controllers_of_a_cell"`
	Groups      float64 `yaml:"groups"`
	HeldZones   float64 `yaml:"zones_of_a_holder"`
}

// model is all that the tables are worked out from.
type model struct {
	Letter      letter           `yaml:"letter"`
	Assumptions assumptions      `yaml:"assumptions"`
	Slopes      map[string]slope `yaml:"slopes"`
}

// needed are the slopes that the tables use.
var needed = []string{"report_us", "watched_page_us", "submission_us", "takeover_us_a_worker", "start_us_a_record", "processor_ms_a_start",
	"changes_a_start", "requests_a_start", "controller_kb_a_worker", "controller_base_mb", "worker_bytes_a_second", "job_over_kb"}

// size is a cell, or all of them.
type size struct {
	name                              string
	workers, starts, running, jobsDay float64
}

// sizes are what the tables are worked out for.
func (m *model) sizes() []size {
	l, n := &m.Letter, m.Letter.Regions
	average := size{"average cell", l.Workers / n, l.Starts / n, l.Running / n, l.Jobs / n}
	twice := size{"cell of twice the average", 2 * average.workers, 2 * average.starts, 2 * average.running, 2 * average.jobsDay}
	return []size{average, twice, {"one cell of all", l.Workers, l.Starts, l.Running, l.Jobs}}
}

func (m *model) of(name string) float64 { return m.Slopes[name].Median }

// row is a line of the table of sizes.
type row struct {
	what string
	of   func(s size) string
}

// rows are the demands of one cell, each with its limit.
func (m *model) rows() []row {
	a := &m.Assumptions
	number := func(format string, of func(size) float64) func(size) string {
		return func(s size) string { return fmt.Sprintf(format, of(s)) }
	}
	changes := func(s size) float64 { return s.starts * m.of("changes_a_start") }
	requests := func(s size) float64 { return s.starts * m.of("requests_a_start") }
	alone := func(s size) float64 { return s.workers / a.Controllers }
	grouped := func(size) float64 { return a.Groups * a.HeldZones }
	return []row{
		{"workers; task starts a second; tasks running", func(s size) string {
			return fmt.Sprintf("%.0f; %.0f; %.0f", s.workers, s.starts, s.running)
		}},
		{"changes a second for starts and endings", number("%.0f", changes)},
		{fmt.Sprintf("factor left of the %.0f granted", a.Changes), number("%.2f", func(s size) float64 { return a.Changes / changes(s) })},
		{"requests a second", number("%.0f", requests)},
		{fmt.Sprintf("factor left of the %.0f granted", a.Requests), number("%.2f", func(s size) float64 { return a.Requests / requests(s) })},
		{"reports a second", number("%.0f", func(s size) float64 { return s.workers / a.Report })},
		{"of them, processor of each controller, ms a second", number("%.1f", func(s size) float64 { return s.workers / a.Report * m.of("report_us") / 1000 / a.Controllers })},
		{"watched pages, processor of each controller, ms a second", number("%.1f", func(size) float64 { return a.Changes * m.of("watched_page_us") / 1000 })},
		{"processor of each controller, all, ms a second", number("%.0f", func(s size) float64 { return s.starts * m.of("processor_ms_a_start") / a.Controllers })},
		{"memory of a controller, MB, without jobs that are over", number("%.0f", func(s size) float64 {
			return m.of("controller_base_mb") + s.workers*m.of("controller_kb_a_worker")/1024
		})},
		{"jobs that are over: MB a day; GB a year", func(s size) string {
			day := s.jobsDay * m.of("job_over_kb") / 1024
			return fmt.Sprintf("%.0f; %.1f", day, day*365/1024)
		}},
		{"a start of a controller reads a day's jobs that are over in s (two records each); a year's", func(s size) string {
			day := s.jobsDay * 2 * m.of("start_us_a_record") / 1e6
			return fmt.Sprintf("%.2f; %.0f", day, day*365)
		}},
		{"a controller ends: claims one by one, changes; s at the rate", func(s size) string {
			return fmt.Sprintf("%.0f; %.1f", alone(s), alone(s)/a.Changes)
		}},
		{"the same by the group, changes; s; factor", func(s size) string {
			return fmt.Sprintf("%.0f; %.2f; %.0f", grouped(s), grouped(s)/a.Changes, alone(s)/grouped(s))
		}},
		{"a cell's first claims, or of all its workers at once, s", number("%.1f", func(s size) float64 { return s.workers / a.Changes })},
	}
}

// tables writes both tables.
func (m *model) tables() string {
	var b strings.Builder
	sizes := m.sizes()
	b.WriteString("\n| worked out |")
	for _, s := range sizes {
		fmt.Fprintf(&b, " %s |", s.name)
	}
	b.WriteString("\n| --- |" + strings.Repeat(" --- |", len(sizes)) + "\n")
	for _, r := range m.rows() {
		fmt.Fprintf(&b, "| %s |", r.what)
		for _, s := range sizes {
			fmt.Fprintf(&b, " %s |", r.of(s))
		}
		b.WriteString("\n")
	}
	b.WriteString("\n| slope, measured | median | least to most | points | command |\n| --- | --- | --- | --- | --- |\n")
	for _, name := range slices.Sorted(maps.Keys(m.Slopes)) {
		s := m.Slopes[name]
		fmt.Fprintf(&b, "| `%s` | %g | %g to %g | %d | %s |\n", name, s.Median, s.Least, s.Most, s.Points, s.Command)
	}
	b.WriteString("\n")
	return b.String()
}
