package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"silvergate/internal/connectivity"
)

// linkStatus is the part of a controller's counters that describes its links.
type linkStatus struct {
	Node  string `json:"node"`
	Reach struct {
		connectivity.Stats
		State          string                    `json:"state"`
		Via            string                    `json:"via"`
		HearsNoWorkers bool                      `json:"deaf"`
		Rows           []connectivity.LinkReport `json:"rows"`
	} `json:"reach"`
}

// reachCommand returns the command that shows which links of controllers are up.
func reachCommand() *cobra.Command {
	k := newClient()
	c := &cobra.Command{
		Use: "reach", Short: "Show which controller reaches what, and through whom", Args: cobra.NoArgs,
		Long: `reach asks controllers how their links are: the state service (direct, relayed by a
peer, or lost), the workers by zone, the other controllers. With --site it asks all of
them; with --address one, and shows what that one has heard from the others, and when.

Exit status 0: every reported link is up. 7: a link is down, or a controller does not
answer.`,
		RunE: func(c *cobra.Command, _ []string) error {
			all, err := k.addresses()
			if err != nil {
				return err
			}
			var statuses []linkStatus
			var lastErr error
			for _, a := range all {
				one := *k
				one.site, one.address = "", a
				var l linkStatus
				if err := one.get("/stats", &l); err != nil {
					lastErr = err
					continue
				}
				statuses = append(statuses, l)
			}
			if len(statuses) == 0 {
				return lastErr
			}
			rows, down := linkTable(statuses)
			if k.format == "json" {
				err = json.NewEncoder(c.OutOrStdout()).Encode(statuses)
			} else {
				err = printTable(c.OutOrStdout(), "CONTROLLER TOLD-BY STATE-SERVICE RECORDS WORKERS HEARS", rows)
			}
			switch {
			case err != nil:
				return err
			case lastErr != nil:
				return exitCode{exitLinkDown, fmt.Errorf("a controller does not answer: %w", lastErr)}
			case down:
				return exitCode{exitLinkDown, errors.New("a link is down: docs/operations.md, \"Links\", says what each loss costs and what to do")}
			}
			return nil
		},
	}
	k.addControllerFlags(c)
	return c
}

// linkTable returns a table with a row for each controller: its own report if it answered, or
// else what the first controller that answered has heard from it. down reports whether any
// link is down.
func linkTable(statuses []linkStatus) (rows [][]string, down bool) {
	asked := map[string]bool{}
	for _, l := range statuses {
		asked[l.Node] = true
	}
	seen := map[string]bool{}
	for _, l := range statuses {
		for i, r := range l.Reach.Rows {
			own := i == 0
			if seen[r.Node] || !own && asked[r.Node] {
				continue
			}
			seen[r.Node] = true
			state := l.Reach.State
			switch {
			case own && l.Reach.Via != "":
				state += " by " + l.Reach.Via
			case !own:
				state = "answered " + formatAge(float64(r.StateServiceMS+r.AgeMS)/1000) + " ago"
			}
			by := "itself"
			if !own {
				by = fmt.Sprintf("%s, %s ago", l.Node, formatAge(float64(r.AgeMS)/1000))
			}
			var zones []string
			held := 0
			for _, z := range r.Zones {
				held += z.Workers
				word := fmt.Sprintf("%s %d", z.Zone, z.Workers)
				if z.Unreachable {
					word += " lost"
					down = true
				}
				zones = append(zones, word)
			}
			workers := strings.Join(zones, ", ")
			if workers == "" {
				workers = "-"
			}
			hears := strings.Join(r.HearsPeers, ",")
			if hears == "" {
				hears = "-"
			}
			down = down || r.HearsNoWorkers || own && l.Reach.State != "direct" || own && len(r.HearsPeers) < len(l.Reach.Rows)-1
			rows = append(rows, []string{r.Node, by, state, formatAge(float64(r.MirrorAgeMS)/1000) + " old", workers, hears})
		}
	}
	return rows, down
}
