package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"silvergate/internal/losses"
)

// lossesCommand returns the command that shows from debug logs where the time of lost tasks went.
func lossesCommand() *cobra.Command {
	var from, span time.Duration
	var output string
	cmd := &cobra.Command{
		Use:   "losses [FILE...]",
		Short: "Show from debug logs where the time of lost tasks went",
		Long: `losses reads the debug logs of a site's controllers (LOG_LEVEL=debug), all of the
same period together, and shows for each class and kind of evidence how long lost
tasks took from the last report of their machine until they ran again, step by step:

  evidence       until it was known that they were lost: the protocol's share
  commit ending  until their end was written: the state service's budget
  room           until there was a machine for them
  commit start   until their new start was written
  tell           until the machine was told
  image          until they were seen running: images, inputs, the next report

Without a file it reads standard input.`,
		Args: cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, files []string) error {
			if output != "text" && output != "json" {
				return fmt.Errorf("--output: %q is neither text nor json", output)
			}
			r := losses.NewReader()
			if len(files) == 0 {
				if err := r.Read(c.InOrStdin()); err != nil {
					return err
				}
			}
			for _, name := range files {
				if err := readLog(r, name); err != nil {
					return err
				}
			}
			lines := r.Report(from)
			if output == "json" {
				return json.NewEncoder(c.OutOrStdout()).Encode(lines)
			}
			return printLosses(c.OutOrStdout(), r, lines, span)
		},
	}
	cmd.Flags().DurationVar(&from, "from", 0, "leave out losses before this time of the log")
	cmd.Flags().DurationVar(&span, "span", 30*time.Second, "length of the worst span to look for")
	cmd.Flags().StringVar(&output, "output", "text", "text or json")
	return cmd
}

func readLog(r *losses.Reader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := r.Read(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func printLosses(out io.Writer, r *losses.Reader, lines []losses.Summary, span time.Duration) error {
	if len(lines) == 0 {
		_, err := fmt.Fprintln(out, "no lost task in the logs; are they of level debug?")
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "class\tevidence by\tlost\tback\ttask-seconds")
	for s := range losses.Step(losses.Steps) {
		fmt.Fprintf(w, "\t%s", s)
	}
	fmt.Fprintln(w, "\t(share; median, p95 s)")
	seen := map[string]bool{}
	for _, l := range lines {
		sum := 0.0
		for _, s := range l.Seconds {
			sum += s
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.0f", l.Class, l.Reason, l.Lost, l.Restarted, sum)
		for s, d := range l.Seconds {
			fmt.Fprintf(w, "\t%.2f; %.1f, %.1f", d/max(sum, 1e-9), l.Median[s], l.P95[s])
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, l := range lines {
		if !seen[l.Class] {
			seen[l.Class] = true
			at, sum, minimum := r.WorstWindow(l.Class, span)
			fmt.Fprintf(out, "%s: worst %v from %v on: %.0f task-seconds lost, %.0f with changes and room at once\n", l.Class, span, at, sum, minimum)
		}
	}
	return nil
}
