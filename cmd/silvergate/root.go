package main

import (
	"errors"

	"github.com/spf13/cobra"

	"silvergate/internal/config"
)

func root() *cobra.Command {
	var settings, operator string
	cmd := &cobra.Command{
		Use:           "silvergate --config FILE",
		Short:         "A cluster scheduler of a few equal controllers",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if settings == "" {
				return errors.New("--config: missing; see silvergate --help")
			}
			cfg, err := config.Load(settings, operator)
			if err != nil {
				return err
			}
			return serve(cfg)
		},
	}
	cmd.PersistentFlags().StringVar(&settings, "config", "", "the platform's settings file (JSON)")
	cmd.PersistentFlags().StringVar(&operator, "operator", "", "the operators' settings file (YAML)")
	return cmd
}
