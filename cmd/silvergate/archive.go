package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"silvergate/internal/archive/history"
	"silvergate/internal/archive/load"
	anode "silvergate/internal/archive/node"
	"silvergate/internal/archive/reader"
	"silvergate/internal/archive/ship"
)

// archiveCommands returns the commands for operators of the archive.
func archiveCommands() *cobra.Command {
	cmd := &cobra.Command{Use: "archive", Short: "The archive, which keeps the output of tasks: serve, status, find, revocations, soak"}
	k := &archiveClient{client: newClient()}
	cmd.AddCommand(archiveServeCommand(), k.statusCommand(), k.findCommand(), k.revocationsCommand(), k.soakCommand(), k.benchCommand(), benchShipCommand())
	return cmd
}

func archiveServeCommand() *cobra.Command {
	var settings string
	serve := &cobra.Command{
		Use: "serve --settings FILE", Short: "Serve an archive node", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg := anode.DefaultConfig()
			if err := startComponent(settings, &cfg); err != nil {
				return err
			}
			n, err := anode.Open(cfg, componentLogger("archive").With("node", cfg.Name))
			if err != nil {
				return err
			}
			l, err := net.Listen("tcp4", cfg.Listen)
			if err != nil {
				n.Stop()
				return err
			}
			onStopSignal(func() {
				n.Stop()
			})
			return n.Serve(l)
		},
	}
	addSettingsFlag(serve, &settings)
	return serve
}

// nodeStatus holds the counters of an archive node, or why they could not be read.
type nodeStatus struct {
	Name  string       `json:"name"`
	Error string       `json:"error,omitempty"`
	Stats *anode.Stats `json:"stats,omitempty"`
}

func (k *archiveClient) statusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "status", Short: "Show what each node holds, and whether the nodes are in sync", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, _, err := k.open()
			if err != nil {
				return err
			}
			var all []nodeStatus
			var rows [][]string
			unreachable := 0
			r.EachNode(c.Context(), http.MethodGet, anode.PathStats, nil, func(name string, raw []byte, err error) {
				status := nodeStatus{Name: name}
				if err == nil {
					status.Stats = &anode.Stats{}
					err = json.Unmarshal(raw, status.Stats)
				}
				if err != nil {
					unreachable++
					status.Stats, status.Error = nil, err.Error()
					rows = append(rows, []string{name, "silent", "", "", "", "", "", ""})
				} else {
					s := status.Stats
					rows = append(rows, []string{name, "serves", fmt.Sprint(s.Records), fmt.Sprint(s.Bytes / 1e6), fmt.Sprint(s.Pulled), fmt.Sprint(s.Mended), fmt.Sprint(s.Damaged), fmt.Sprint(s.Strays)})
				}
				all = append(all, status)
			})
			if err := k.printList(c, all, "NODE STATE RECORDS MB PULLED MENDED DAMAGED STRAYS", rows); err != nil {
				return err
			}
			if unreachable == len(all) {
				return errors.New("no archive node answers")
			}
			return nil
		},
	}
	k.addArchiveFlags(cmd)
	return cmd
}

func (k *archiveClient) findCommand() *cobra.Command {
	var q reader.Query
	find := &cobra.Command{
		Use: "find", Short: "Find attempts by job, team, customer, class, machine or day", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, _, err := k.open()
			if err != nil {
				return err
			}
			found, answered, err := r.Attempts(c.Context(), q)
			if err != nil {
				return err
			}
			warnIfIncomplete(c, answered)
			var rows [][]string
			for i := range found {
				a := &found[i]
				end := "-"
				if a.End != nil {
					end = a.End.Cause
				}
				rows = append(rows, []string{a.Job, strconv.Itoa(a.Task), strconv.Itoa(a.Try), a.Machine, a.Team, a.Customer, a.Class, time.UnixMilli(a.At).UTC().Format(time.RFC3339), end})
			}
			return k.printList(c, found, "JOB TASK ATTEMPT MACHINE TEAM CUSTOMER CLASS BOUND END", rows)
		},
	}
	k.addArchiveFlags(find)
	for _, f := range []struct {
		name string
		to   *string
	}{{"job", &q.Job}, {"team", &q.Team}, {"customer", &q.Customer}, {"class", &q.Class}, {"machine", &q.Machine}, {"day", &q.Day}} {
		find.Flags().StringVar(f.to, f.name, "", "only attempts of this "+f.name)
	}
	return find
}

func (k *archiveClient) revocationsCommand() *cobra.Command {
	revocations := &cobra.Command{
		Use: "revocations FILE", Short: "Send the authority's list of revocations to all nodes that answer", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			r, _, err := k.open()
			if err != nil {
				return err
			}
			delivered := 0
			r.EachNode(c.Context(), http.MethodPost, anode.PathRevocations, raw, func(name string, _ []byte, err error) {
				if err != nil {
					fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", name, err)
					return
				}
				delivered++
			})
			if delivered == 0 {
				return errors.New("no archive node accepted the list of revocations")
			}
			return k.printResult(c, map[string]int{"nodes": delivered}, fmt.Sprintf("%d nodes have it", delivered))
		},
	}
	k.addArchiveFlags(revocations)
	return revocations
}

func (k *archiveClient) soakCommand() *cobra.Command {
	var seed uint64
	var histories, rounds int
	soak := &cobra.Command{
		Use: "soak", Short: "Run random histories of an archive on loopback and check what readers get", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var sum history.Summary
			for i := range histories {
				dir, err := os.MkdirTemp("", "silvergate-archive")
				if err != nil {
					return err
				}
				d, err := history.RunRandom(dir, seed+uint64(i), rounds)
				if err != nil {
					return fmt.Errorf("seed %d (files kept in %s): %w", seed+uint64(i), dir, err)
				}
				if err := os.RemoveAll(dir); err != nil {
					return err
				}
				sum.Add(d)
				if (i+1)%10 == 0 {
					fmt.Fprintf(c.ErrOrStderr(), "%d of %d histories\n", i+1, histories)
				}
			}
			return k.printResult(c, sum, fmt.Sprintf("%d histories: %+v", histories, sum))
		},
	}
	soak.Flags().Uint64Var(&seed, "seed", 1, "the first seed")
	soak.Flags().IntVar(&histories, "histories", 10, "how many histories to run")
	soak.Flags().IntVar(&rounds, "rounds", 40, "how many rounds each history has")
	k.addOutputFlag(soak)
	return soak
}

func (k *archiveClient) benchCommand() *cobra.Command {
	o := load.Options{}
	bench := &cobra.Command{
		Use: "bench --dir DIR", Short: "Measure an archive of three nodes on this machine", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if o.Executable, err = os.Executable(); err != nil {
				return err
			}
			if o.Dir, err = filepath.Abs(o.Dir); err != nil {
				return err
			}
			o.Out = c.ErrOrStderr()
			r, err := load.Run(o)
			if err != nil {
				return err
			}
			return k.printResult(c, r, fmt.Sprintf("%+v", r))
		},
	}
	bench.Flags().StringVar(&o.Dir, "dir", "", "an empty folder on the disk to measure")
	bench.Flags().IntVar(&o.Tasks, "tasks", 2000, "how many tasks write")
	bench.Flags().IntVar(&o.Lines, "lines", 100, "how many lines a second each task writes")
	bench.Flags().DurationVar(&o.Duration, "for", 20*time.Second, "how long the tasks write")
	_ = bench.MarkFlagRequired("dir")
	k.addOutputFlag(bench)
	return bench
}

// benchShipCommand returns the hidden command that archive bench starts as the process of a shipper.
func benchShipCommand() *cobra.Command {
	var shipping string
	benchShip := &cobra.Command{
		Use: "bench-ship --settings FILE", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s := load.Settings{Ship: ship.DefaultConfig()}
			if err := startComponent(shipping, &s); err != nil {
				return err
			}
			done := make(chan struct{})
			onStopSignal(func() { close(done) })
			return load.Ship(s, componentLogger("ship"), done)
		},
	}
	addSettingsFlag(benchShip, &shipping)
	return benchShip
}
