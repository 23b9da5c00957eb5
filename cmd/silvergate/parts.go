package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"silvergate/internal/agent"
	"silvergate/internal/config"
	"silvergate/internal/metrics"
	"silvergate/internal/proc"
	"silvergate/internal/provider"
	"silvergate/internal/statestore"
)

// addSettingsFlag adds the required flag for a component's YAML file.
func addSettingsFlag(c *cobra.Command, path *string) {
	c.Flags().StringVar(path, "settings", "", "the part's settings file (YAML); unknown keys are refused")
	_ = c.MarkFlagRequired("settings")
}

// readSettings decodes a component's YAML file into v, which holds the defaults.
func readSettings(path string, v any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := config.DecodeYAML(raw, v); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// startComponent is the first step of every command that runs a component until it is stopped. If
// the process was started held, it waits for its release (see proc.Start). Then it decodes the
// component's YAML file into cfg, which holds the defaults.
func startComponent(settings string, cfg any) error {
	if err := proc.WaitForRelease(); err != nil {
		return err
	}
	return readSettings(settings, cfg)
}

// onStopSignal calls stop on the first SIGTERM or SIGINT, in a goroutine that ends after that call
// or with the process.
func onStopSignal(stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
	}()
}

func componentLogger(part string) *slog.Logger {
	return newLogger(os.Getenv("LOG_LEVEL")).With("part", part)
}

// metricsHandler returns the Extra function of a component that has its own server: it answers
// GET /metrics and reports whether it has answered a request.
func metricsHandler(renderer *metrics.Renderer, log *slog.Logger,
	answer func(id uint64, contentType string, body []byte)) func(id uint64, method, path string) bool {
	return func(id uint64, method, path string) bool {
		if path != metrics.Path || method != http.MethodGet {
			return false
		}
		contentType, body, err := renderer.Render()
		if err != nil {
			log.Error("can't render the metrics", "error", err)
			return false
		}
		answer(id, contentType, body)
		return true
	}
}

// providerCommand returns the command that serves a cloud of local machines.
func providerCommand() *cobra.Command {
	var settings string
	cmd := &cobra.Command{
		Use: "provider --settings FILE", Short: "Serve a cloud whose machines are agents on this machine", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg := provider.DefaultConfig()
			if err := startComponent(settings, &cfg); err != nil {
				return err
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			log := componentLogger("cloud")
			p, err := provider.Open(cfg, executable, log)
			if err != nil {
				return err
			}
			if cfg.Metrics {
				p.Extra = metricsHandler(metrics.New("cloud", func() []metrics.Metric { return providerMetrics(p.Stats()) }), log, p.AnswerWithType)
			}
			onStopSignal(p.Stop)
			return p.Run(nil)
		},
	}
	addSettingsFlag(cmd, &settings)
	return cmd
}

func providerMetrics(s provider.Stats) []metrics.Metric {
	out := []metrics.Metric{
		{Name: "cloud_requests", Help: "Requests received.", Value: float64(s.Requests), IsCounter: true},
		{Name: "cloud_refused", Help: "Requests refused because of the rate limit or because no machine was free.", Value: float64(s.Refused), IsCounter: true},
		{Name: "cloud_rented", Help: "Machines rented.", Value: float64(s.Rented), IsCounter: true},
		{Name: "cloud_ended", Help: "Machines ended.", Value: float64(s.Ended), IsCounter: true},
		{Name: "cloud_agent_deaths", Help: "Agents that ended without being told to.", Value: float64(s.Restarted), IsCounter: true},
		{Name: "cloud_paid", Help: "Cost of all machines since the start, in the price list's money.", Value: s.Paid, IsCounter: true},
	}
	for status, n := range s.Machines {
		out = append(out, metrics.Metric{Name: "cloud_machines", Help: "Machines by status.", Value: float64(n), Labels: map[string]string{"status": status}})
	}
	return out
}

// agentCommands returns the command of a machine's agent and the hidden ones that the agent starts.
func agentCommands() []*cobra.Command {
	var settings string
	run := &cobra.Command{
		Use: "agent --settings FILE", Short: "Run this machine's tasks for the controllers", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg := agent.DefaultConfig()
			if err := startComponent(settings, &cfg); err != nil {
				return err
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			log := componentLogger("agent").With("machine", cfg.Worker)
			a, err := agent.New(cfg, executable, log)
			if err != nil {
				return err
			}
			if cfg.Metrics {
				a.Extra = metricsHandler(metrics.New("agent", func() []metrics.Metric { return agentMetrics(a.Stats()) }), log, a.AnswerWithType)
			}
			onStopSignal(a.Stop)
			return a.Run()
		},
	}
	addSettingsFlag(run, &settings)
	return []*cobra.Command{run, {
		Use: "task-exec FILE", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return agent.ExecTask(args[0]) },
	}, {
		Use: "agent-watchdog DIR", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return agent.Watchdog(args[0], os.Stdin) },
	}}
}

func agentMetrics(s agent.Stats) []metrics.Metric {
	out := []metrics.Metric{
		{Name: "agent_reports", Help: "Reports sent.", Value: float64(s.Heartbeats), IsCounter: true},
		{Name: "agent_reports_answered", Help: "Reports answered with 200.", Value: float64(s.Answered), IsCounter: true},
		{Name: "agent_launched", Help: "Programs started.", Value: float64(s.Launched), IsCounter: true},
		{Name: "agent_sessions", Help: "Sessions begun since the agent started.", Value: float64(s.Epochs), IsCounter: true},
		{Name: "agent_loads", Help: "Attempts on the machine, including those that are over.", Value: float64(s.Tasks)},
		{Name: "agent_loads_live", Help: "Attempts that are not over.", Value: float64(s.Live)},
		{Name: "agent_resident_bytes", Help: "Resident memory of all tasks.", Value: float64(s.Usage.RSS)},
		{Name: "agent_processes", Help: "Processes of all tasks.", Value: float64(s.Usage.Members)},
	}
	if a := s.Archive; a != nil {
		out = append(out, metrics.Metric{Name: "agent_archive_attempts", Help: "Attempts whose output is being shipped.", Value: float64(a.Attempts)},
			metrics.Metric{Name: "agent_archive_waiting_bytes", Help: "Output that is not yet acknowledged.", Value: float64(a.Left)},
			metrics.Metric{Name: "agent_archive_oldest_seconds", Help: "Age of the oldest output that is not yet acknowledged.", Value: float64(a.OldestMS) / 1000},
			metrics.Metric{Name: "agent_archive_shipped_bytes", Help: "Output that is acknowledged.", Value: float64(a.Shipped), IsCounter: true},
			metrics.Metric{Name: "agent_archive_given_up_bytes", Help: "Output given up because the spool was full.", Value: float64(a.GivenUp), IsCounter: true},
			metrics.Metric{Name: "agent_archive_files", Help: "Files kept.", Value: float64(a.Files), IsCounter: true},
			metrics.Metric{Name: "agent_archive_refused", Help: "Records that nodes refused.", Value: float64(a.Refused), IsCounter: true})
	}
	if d := s.Data; d != nil {
		out = append(out, metrics.Metric{Name: "agent_data_copies", Help: "Copies of data sets in the store.", Value: float64(d.Copies)},
			metrics.Metric{Name: "agent_data_copies_bytes", Help: "Room that the copies take.", Value: float64(d.Bytes)},
			metrics.Metric{Name: "agent_data_placed_bytes", Help: "Room that tasks' own files of copies take.", Value: float64(d.Placed)},
			metrics.Metric{Name: "agent_data_placements", Help: "Copies given to tasks.", Value: float64(d.Placements), IsCounter: true},
			metrics.Metric{Name: "agent_data_copied_bytes", Help: "Bytes copied for tasks, where the file system can't clone.", Value: float64(d.Copied), IsCounter: true},
			metrics.Metric{Name: "agent_data_place_seconds", Help: "Time spent giving tasks their files.", Value: d.PlaceTime.Seconds(), IsCounter: true},
			metrics.Metric{Name: "agent_data_refused", Help: "Fetches and placements refused for want of room.", Value: float64(d.Refused), IsCounter: true})
	}
	for cause, n := range s.TaskEnds {
		out = append(out, metrics.Metric{Name: "agent_endings", Help: "Attempts that are over, by cause.", Value: float64(n),
			IsCounter: true, Labels: map[string]string{"cause": cause}})
	}
	return out
}

// exitCode is an error with the exit status that the program ends with.
type exitCode struct {
	code int
	err  error
}

func (e exitCode) Error() string { return e.err.Error() }
func (e exitCode) Unwrap() error { return e.err }

// Exit statuses, as docs/site.md lists them.
const (
	exitFailure   = 1
	exitDamaged   = 3
	exitCancelled = 4
	exitTimeout   = 5
	exitDiffers   = 6
	exitLinkDown  = 7
)

// exitStatus returns the exit status for an error.
func exitStatus(err error) int {
	var x exitCode
	switch {
	case errors.As(err, &x):
		return x.code
	case errors.Is(err, statestore.ErrDamaged):
		return exitDamaged
	}
	return exitFailure
}
