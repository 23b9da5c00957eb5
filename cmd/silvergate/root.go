package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"silvergate/internal/config"
	"silvergate/internal/proc"
)

// version is the program's version. The build sets it with -ldflags "-X main.version=...".
var version = "0.1.0"

func rootCommand() *cobra.Command {
	var settings, operator string
	load := func() (*config.Settings, error) {
		if settings == "" {
			return nil, errors.New("--config: missing; see silvergate --help")
		}
		return config.Load(settings, operator)
	}
	cmd := &cobra.Command{
		Use:   "silvergate --config FILE",
		Short: "A cluster scheduler of a few equal controllers",
		Long: `silvergate takes jobs from users, rents machines from a cloud and runs the
jobs' tasks on workers. Every controller runs the same program with its own
settings file; they share nothing but a small state service.

Without a subcommand it serves until it is killed. The environment variable
LOG_LEVEL (error, info, debug) sets what it logs to standard error.`,
		Example: `  silvergate up --dir ./site --demo
  silvergate --config /etc/silvergate/settings.json
  silvergate validate --config settings.json --operator silvergate.yaml
  silvergate submit --address 10.0.0.1:8080 job.json
  silvergate show --address 10.0.0.1:8080 wk-000412
  silvergate logs --site ./site --follow wk-000412
  silvergate why --site ./site wk-000412`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			if err := proc.WaitForRelease(); err != nil {
				return err
			}
			return serve(cfg)
		},
	}
	cmd.PersistentFlags().StringVar(&settings, "config", "", "the platform's settings file (JSON)")
	cmd.PersistentFlags().StringVar(&operator, "operator", "", "the operators' settings file (YAML); default: "+config.OperatorFile+" beside the settings, then in deploy/")
	cmd.AddCommand(validateCommand(load), versionCommand())
	cmd.AddCommand(clientCommands()...)
	cmd.AddCommand(upCommand(), lossesCommand(), replayCommand(), stateCommands(), providerCommand(), soakCommand(), dataCommands(), certsCommands(), archiveCommands(), logsCommand(), artefactsCommand(), whyCommand(), benchCommands(), scaleCommand())
	cmd.AddCommand(agentCommands()...)
	return cmd
}

// validateCommand returns the command that checks the settings files which load reads.
func validateCommand(load func() (*config.Settings, error)) *cobra.Command {
	return &cobra.Command{
		Use:   "validate",
		Short: "Check the settings files and say what is wrong",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "settings of %s are valid: %d controllers, %d teams, %d objectives\n",
				cfg.Node, 1+len(cfg.Peers), len(cfg.Facts.Teams), len(cfg.Facts.Objectives))
			return nil
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "silvergate", version) },
	}
}
