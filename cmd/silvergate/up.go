package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"silvergate/examples"
	"silvergate/internal/protocol"
	"silvergate/internal/site"
)

// demoLimit is how long the demonstration may take before it is a failure.
const demoLimit = 2 * time.Minute

func upCommand() *cobra.Command {
	var dir, settings string
	var demo bool
	cmd := &cobra.Command{
		Use: "up --dir DIR", Short: "Run a whole site on this machine", Args: cobra.NoArgs,
		Long: `up runs a whole site on this machine, on loopback: a durable state service, a
cloud whose machines are processes here, three controllers and the machines'
agents. It serves until Ctrl-C. With the same folder it goes on after any end,
with every job that was accepted. The site is described in site.yaml in the
folder, made from deploy/up.yaml at the first start.`,
		Example: `  silvergate up --dir ./site --demo
  silvergate up --dir ./site
  silvergate submit --site ./site --wait examples/hello.yaml`,
		RunE: func(c *cobra.Command, _ []string) error {
			var raw []byte
			if settings != "" {
				var err error
				if raw, err = os.ReadFile(settings); err != nil {
					return fmt.Errorf("settings: %w", err)
				}
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			level := os.Getenv("LOG_LEVEL")
			if level == "" && demo {
				level = "error"
			}
			s, err := site.Open(dir, raw, self, newLogger(level).With("part", "up"))
			if err != nil {
				return err
			}
			ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer cancel()
			s.Start()
			defer s.Stop()
			begun := time.Now()
			limit, stop := context.WithTimeout(ctx, demoLimit)
			err = s.Ready(limit)
			stop()
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			fmt.Fprintf(out, "the site is up after %.1f s; logs are in %s\n", time.Since(begun).Seconds(), filepath.Join(s.Dir, "logs"))
			if demo {
				return runDemo(c, s)
			}
			for i, a := range s.Ports.Addresses() {
				fmt.Fprintf(out, "controller stoker-%d  %s\n", i, a)
			}
			fmt.Fprintf(out, "state service        127.0.0.1:%d\ncloud                127.0.0.1:%d\n", s.Ports.State, s.Ports.Provider)
			fmt.Fprintf(out, "submit with: silvergate submit --site %s --wait JOB.yaml; Ctrl-C ends the site\n", dir)
			select {
			case <-ctx.Done():
				fmt.Fprintln(out, "ending")
				return nil
			case err := <-s.Fatal():
				return err
			}
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "", "the site's folder")
	cmd.Flags().StringVar(&settings, "settings", "", "a site's settings (YAML) instead of the folder's own")
	cmd.Flags().BoolVar(&demo, "demo", false, "run a first job, print what its tasks wrote and end")
	_ = cmd.MarkFlagRequired("dir")
	return cmd
}

// runDemo runs the first example and prints what its tasks wrote.
func runDemo(c *cobra.Command, s *site.Site) error {
	out := c.OutOrStdout()
	body, err := readJob(examples.Hello)
	if err != nil {
		return err
	}
	k := newClient()
	k.site = s.Dir
	st, err := k.submit(body)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "submitted examples/hello.yaml as %s\n", st.ID)
	last := ""
	st, err = k.wait(st.ID, demoLimit, func(st protocol.JobState) {
		if now := describe(st); now != last {
			fmt.Fprintln(out, now)
			last = now
		}
	})
	if err != nil {
		return err
	}
	files, err := s.Outputs(st.ID)
	if err != nil {
		return err
	}
	sort.Strings(files)
	lines := 0
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		for sc := bufio.NewScanner(f); sc.Scan(); lines++ {
			fmt.Fprintf(out, "  %s\n", sc.Text())
		}
		f.Close()
	}
	if lines == 0 {
		return fmt.Errorf("%s is %s, but its tasks wrote nothing; see %s", st.ID, st.Status, filepath.Join(s.Dir, "cloud"))
	}
	return nil
}
