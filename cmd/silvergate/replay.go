package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"silvergate/internal/replay"
)

// replayFlags holds the flags of the replay command.
type replayFlags struct {
	at, until, output string
	names             []string
	logs              bool
}

// replayCommand returns the command that replays recordings through cores.
func replayCommand() *cobra.Command {
	var f replayFlags
	cmd := &cobra.Command{
		Use:   "replay FILE|DIR...",
		Short: "Replay recorded controllers through this program, and show why they did what they did",
		Long: `replay reads recordings that controllers made (recorder: in the operators'
settings), passes every input to this program's core again and compares all effects
with the recorded ones. An incarnation of a controller (from a start of its process to
its end) is replayed from its beginning.

With --explain it shows the history of a task (wk-000412/3), a job or a machine: what
each controller heard, knew and sent, with the revision of its records. Recordings of
several controllers are merged into one history. With --at it shows what each knew at
that time.

Exit status: 0 nothing differs, 1 the recordings can't be read, 6 some effects differ
from the recorded ones: another build made the recording, or the program has a fault.`,
		Example: `  silvergate replay ./site/recordings --explain wk-000412/3 --explain i-000231
  silvergate replay north-*.rec --at 90.5s --explain i-000231`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error { return f.run(c, paths) },
	}
	cmd.Flags().StringVar(&f.at, "at", "", "show what was known at this time: a time, or how long after the first input (90.5s)")
	cmd.Flags().StringVar(&f.until, "until", "", "stop at this time, given as for --at")
	cmd.Flags().StringArrayVar(&f.names, "explain", nil, "show the history of a task, a job or a machine; may be repeated")
	cmd.Flags().BoolVar(&f.logs, "log", false, "write the cores' debug logs to standard error")
	cmd.Flags().StringVar(&f.output, "output", "text", "text or json")
	return cmd
}

func (f *replayFlags) run(c *cobra.Command, paths []string) error {
	if f.output != "text" && f.output != "json" {
		return fmt.Errorf("--output: %q is neither text nor json", f.output)
	}
	incarnations, err := replay.Open(paths)
	if err != nil {
		return err
	}
	o := replay.Options{Names: f.names}
	if f.logs {
		o.Log = slog.New(slog.NewTextHandler(c.ErrOrStderr(), &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	first := incarnations[0].Begin
	for _, incarnation := range incarnations {
		if incarnation.Begin.Before(first) {
			first = incarnation.Begin
		}
	}
	if o.At, err = replay.ParseTime(f.at, first); err != nil {
		return fmt.Errorf("--at: %w", err)
	}
	if o.Until, err = replay.ParseTime(f.until, first); err != nil {
		return fmt.Errorf("--until: %w", err)
	}
	if !o.At.IsZero() && len(f.names) == 0 {
		return errors.New("--at: needs --explain with the task, job or machine to show")
	}
	results, histories := []replay.Result{}, [][]replay.Event{}
	for i := range incarnations {
		r, err := incarnations[i].Replay(o)
		if err != nil {
			return err
		}
		results, histories = append(results, r), append(histories, r.Events)
	}
	return printReplay(c.OutOrStdout(), f.output, results, replay.Merge(histories...))
}

func printReplay(out io.Writer, output string, results []replay.Result, history []replay.Event) error {
	differing := 0
	for _, r := range results {
		differing += r.Different
	}
	if output == "json" {
		if history == nil {
			history = []replay.Event{}
		}
		err := json.NewEncoder(out).Encode(struct {
			Incarnations []replay.Result `json:"incarnations"`
			Story        []replay.Event  `json:"story"`
		}{results, history})
		if err != nil {
			return err
		}
	} else {
		for _, event := range history {
			fmt.Fprintln(out, event)
		}
		for _, r := range results {
			for _, k := range r.Known {
				fmt.Fprintln(out, k)
			}
			fmt.Fprintf(out, "%s, life %d, build %q: %d inputs, %d with other effects", r.Node, r.Incarnation, r.Build, r.Inputs, r.Different)
			if r.FirstDifference != "" {
				fmt.Fprintf(out, ", first %s", r.FirstDifference)
			}
			if r.Torn {
				fmt.Fprint(out, "; it ends in the middle of a frame, as a kill leaves it")
			}
			fmt.Fprintln(out)
		}
	}
	if differing > 0 {
		return exitCode{exitDiffers, fmt.Errorf("%d inputs had other effects than recorded", differing)}
	}
	return nil
}
