package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"silvergate/internal/metrics"
	"silvergate/internal/statestore"
)

// stateCommands returns the commands that serve the state service and maintain its file.
func stateCommands() *cobra.Command {
	cmd := &cobra.Command{Use: "state", Short: "The state service: serve, back up, restore, check"}
	client := newClient()
	cmd.AddCommand(stateServeCommand(), client.stateBackupCommand(), client.stateRestoreCommand(), client.stateCheckCommand())
	return cmd
}

func stateServeCommand() *cobra.Command {
	var settings string
	serve := &cobra.Command{
		Use: "serve --settings FILE", Short: "Serve the state service", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg := statestore.DefaultConfig()
			if err := startComponent(settings, &cfg); err != nil {
				return err
			}
			log := componentLogger("state")
			s, err := statestore.Open(cfg, log)
			if err != nil {
				return err
			}
			if cfg.Metrics {
				s.Extra = metricsHandler(metrics.New("state", func() []metrics.Metric { return stateMetrics(s.Stats()) }), log, s.AnswerWithType)
			}
			onStopSignal(s.Stop)
			return s.Run(nil)
		},
	}
	addSettingsFlag(serve, &settings)
	return serve
}

func (k *client) stateBackupCommand() *cobra.Command {
	backup := &cobra.Command{
		Use: "backup NAME", Short: "Write a consistent snapshot into the service's backup folder, while it serves", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var saved statestore.BackupSummary
			if err := k.post(statestore.PathBackup, statestore.BackupRequest{Name: args[0]}, &saved); err != nil {
				return err
			}
			return k.printResult(c, saved, fmt.Sprintf("%s: %d keys at revision %d, %d bytes", saved.File, saved.Keys, saved.Revision, saved.Bytes))
		},
	}
	k.addAddressFlags(backup, "127.0.0.1:2379", "the state service's address", time.Minute)
	return backup
}

func (k *client) stateRestoreCommand() *cobra.Command {
	var dir string
	restore := &cobra.Command{
		Use: "restore BACKUP --dir DIR", Short: "Create a store in an empty folder from a backup", Args: cobra.ExactArgs(1),
		Long: `restore creates a store from a backup, in a folder that has none: an existing
store is never replaced. All keys get new revisions above any that the lost
store can have given out, so that no client continues with an old one. What
was accepted after the backup is lost.`,
		RunE: func(c *cobra.Command, args []string) error {
			saved, err := statestore.Restore(args[0], dir)
			if err != nil {
				return err
			}
			return k.printResult(c, saved, fmt.Sprintf("%s: %d keys at revision %d, %d bytes", saved.File, saved.Keys, saved.Revision, saved.Bytes))
		},
	}
	restore.Flags().StringVar(&dir, "dir", "", "the folder for the new store")
	_ = restore.MarkFlagRequired("dir")
	k.addOutputFlag(restore)
	return restore
}

func (k *client) stateCheckCommand() *cobra.Command {
	check := &cobra.Command{
		Use: "check FILE", Short: "Read all of a store's file or a backup and compare it with its checksums", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := args[0]
			if info, err := os.Stat(path); err == nil && info.IsDir() {
				path = filepath.Join(path, statestore.FileName)
			}
			saved, err := statestore.Check(path)
			if err != nil {
				return err
			}
			return k.printResult(c, saved, fmt.Sprintf("%s is sound: %d keys at revision %d, %d bytes", saved.File, saved.Keys, saved.Revision, saved.Bytes))
		},
	}
	k.addOutputFlag(check)
	return check
}

func stateMetrics(s statestore.Stats) []metrics.Metric {
	return []metrics.Metric{
		{Name: "state_requests", Help: "Requests received.", Value: float64(s.Requests), IsCounter: true},
		{Name: "state_refused", Help: "Requests refused because of the rate limits or a slow disk.", Value: float64(s.Refused), IsCounter: true},
		{Name: "state_commits", Help: "Syncs of the file.", Value: float64(s.Commits), IsCounter: true},
		{Name: "state_commit_seconds", Help: "Time spent in syncs of the file.", Value: s.CommitSeconds, IsCounter: true},
		{Name: "state_changes", Help: "Changes of keys.", Value: float64(s.Changes), IsCounter: true},
		{Name: "state_ledger", Help: "Revision of the last change.", Value: float64(s.Revision)},
		{Name: "state_keys", Help: "Keys.", Value: float64(s.Keys)},
		{Name: "state_grants", Help: "Leases.", Value: float64(s.Leases)},
		{Name: "state_watches", Help: "Open watches.", Value: float64(s.Watches)},
		{Name: "state_queued", Help: "Changes that are waiting for the disk.", Value: float64(s.Queued)},
	}
}
