package main

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"silvergate/internal/stagebench"
)

// benchCommands returns the commands that measure decisions in simulated clusters.
func benchCommands() *cobra.Command {
	cmd := &cobra.Command{Use: "bench", Short: "Measure decisions in simulated clusters"}
	var machines []int
	var seconds float64
	var seed uint64
	k := newClient()
	st := &cobra.Command{
		Use: "staging", Short: "Compare ways of bringing data to urgent tasks (simulated)", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var all []stagebench.Result
			var rows [][]string
			for _, zipf := range []bool{false, true} {
				for _, m := range machines {
					for _, strategy := range stagebench.Strategies {
						fmt.Fprintf(c.ErrOrStderr(), "%s, %d machines, popular sets %t\n", strategy, m, zipf)
						r := stagebench.Run(strategy, stagebench.Options{Machines: m, Zipf: zipf, Seed: seed, Seconds: seconds})
						all = append(all, r)
						kind := "plain"
						if zipf {
							kind = "zipf"
						}
						rows = append(rows, []string{kind, fmt.Sprint(m), string(r.Way), fmt.Sprint(r.Urgent), fmt.Sprintf("%.1f", r.P50), fmt.Sprintf("%.1f", r.P99),
							fmt.Sprintf("%.3f", r.Share), fmt.Sprintf("%.0f", r.MovedGB), fmt.Sprintf("%.2f", r.FromPeers), fmt.Sprintf("%.1f", r.DecisionUS)})
					}
				}
			}
			if k.format == "json" {
				return json.NewEncoder(c.OutOrStdout()).Encode(all)
			}
			return printTable(c.OutOrStdout(), "SETS MACHINES WAY URGENT P50-S P99-S IN-AIM MOVED-GB FROM-PEERS DECISION-US", rows)
		},
	}
	k.addOutputFlag(st)
	st.Flags().IntSliceVar(&machines, "machines", []int{8, 100, 855, 1900}, "sizes of the cluster")
	st.Flags().Float64Var(&seconds, "seconds", 540, "simulated time")
	st.Flags().Uint64Var(&seed, "seed", 1, "the seed of the random jobs")
	cmd.AddCommand(st)
	return cmd
}
