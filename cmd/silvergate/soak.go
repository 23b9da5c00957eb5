package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"silvergate/internal/soak"
)

// soakCommand returns the command that kills a whole site repeatedly: a tool for
// developers, and for anyone who wants to know whether this machine's disk keeps what
// it has acknowledged.
func soakCommand() *cobra.Command {
	var o soak.Options
	k := newClient()
	cmd := &cobra.Command{
		Use: "soak --dir DIR", Short: "Run a site, kill all its processes repeatedly, and compare what ran with what was promised", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if o.Executable, err = os.Executable(); err != nil {
				return err
			}
			o.Out = c.ErrOrStderr()
			r, err := soak.Run(o)
			if err != nil {
				return err
			}
			text := fmt.Sprintf("%d jobs with %d tasks through %d kills in %s: %d effects, %d tasks ran more than once, %d submissions were tried again, revision %d",
				r.Accepted, r.Tasks, r.Kills, r.Took.Round(time.Second), r.Effects, r.Repeated, r.Refused, r.Revision)
			if err := k.printResult(c, r, text); err != nil {
				return err
			}
			if len(r.Broken) > 0 {
				return fmt.Errorf("%d promises broken, the first: %s", len(r.Broken), r.Broken[0])
			}
			return nil
		},
	}
	k.addOutputFlag(cmd)
	f := cmd.Flags()
	f.StringVar(&o.Dir, "dir", "", "a folder that is empty or does not exist")
	f.IntVar(&o.Jobs, "jobs", 200, "jobs to submit")
	f.IntVar(&o.Disruptions, "disruptions", 0, "how often the running site is disrupted before the kills: preemption notices, stopped archive nodes and agents, controllers killed one by one")
	f.IntVar(&o.Kills, "kills", 20, "how often everything is killed")
	f.Uint64Var(&o.Seed, "seed", 1, "the seed of the random times and choices")
	f.DurationVar(&o.MeanKillInterval, "between", 3*time.Second, "mean time between two kills")
	f.BoolVar(&o.CopyLaunches, "copy-launches", false, "deliver copies of the controllers' launches to the workers seconds later")
	f.DurationVar(&o.Limit, "limit", 3*time.Minute, "how long the jobs may take after the last kill")
	_ = cmd.MarkFlagRequired("dir")
	return cmd
}
