package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"silvergate/internal/scale"
)

// errRuleBroken is returned after a scale run in which the checkers found a broken rule.
var errRuleBroken = errors.New("a rule was broken")

// scaleCommand returns the command that measures the program at sizes for which one machine
// can't run real workers.
func scaleCommand() *cobra.Command {
	var dir string
	client := newClient()
	cmd := &cobra.Command{
		Use: "scale SCENARIO --dir DIR", Short: "Measure cells of real controllers with hollow workers on this machine", Args: cobra.ExactArgs(1),
		Long: `scale plays a scenario on loopback: real controllers and state services, hollow
workers that speak the worker's protocol in full and run no programs, some real
agents, users, faults, and checkers of the rules. It ends all that it started, also on
Ctrl-C. SCENARIO is a YAML file or one of those in the program: ` + strings.Join(scale.ShippedScenarios(), ", ") + `.
It writes result.json and the processes' logs into the folder; tools/scalereport plots
the result.`,
		Example: `  silvergate scale small --dir /tmp/small
  silvergate scale cell --dir /tmp/cell --output json`,
		RunE: func(c *cobra.Command, args []string) error {
			scenario, err := scale.LoadScenario(args[0])
			if err != nil {
				return err
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer cancel()
			result, err := scale.Run(ctx, scale.Options{Scenario: scenario, Dir: dir, Executable: executable, Out: c.ErrOrStderr(), Log: componentLogger("scale")})
			if result == nil {
				return err
			}
			if reportErr := scale.WriteResult(dir, result); reportErr != nil {
				return errors.Join(err, reportErr)
			}
			if showErr := client.printResult(c, result, scale.Summary(result)); showErr != nil || err != nil {
				return errors.Join(err, showErr)
			}
			if result.Violations > 0 {
				return fmt.Errorf("%w: see %s", errRuleBroken, filepath.Join(dir, scale.ResultFile))
			}
			return nil
		},
	}
	client.addOutputFlag(cmd)
	cmd.Flags().StringVar(&dir, "dir", "", "a folder that is empty or does not exist")
	_ = cmd.MarkFlagRequired("dir")
	cmd.AddCommand(scaleCellCommand())
	return cmd
}

// scaleCellCommand returns the hidden command that scale starts for the cloud, workers and users
// of one cell.
func scaleCellCommand() *cobra.Command {
	var settings, result string
	cmd := &cobra.Command{
		Use: "cell-process --settings FILE --result FILE", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg := scale.CellSettings{}
			if err := readSettings(settings, &cfg); err != nil {
				return err
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			stop := make(chan struct{})
			onStopSignal(func() { close(stop) })
			measured, err := scale.RunCell(cfg, executable, componentLogger("cell"), stop)
			if err != nil {
				return err
			}
			return scale.WriteJSON(result, measured)
		},
	}
	addSettingsFlag(cmd, &settings)
	cmd.Flags().StringVar(&result, "result", "", "the file to write the measurements to")
	_ = cmd.MarkFlagRequired("result")
	return cmd
}
