package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
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

// demoLimit is the longest time that a site may take to start, and then the longest time that a
// demonstration's job may take.
const demoLimit = 2 * time.Minute

// upFlags holds the flags of the up command.
type upFlags struct {
	dir, settings string
	demo          bool
}

func upCommand() *cobra.Command {
	var f upFlags
	cmd := &cobra.Command{
		Use: "up --dir DIR", Short: "Run a whole site on this machine", Args: cobra.NoArgs,
		Long: `up runs a whole site on this machine, on loopback: a durable state service, a
cloud whose machines are processes here, three controllers and the machines'
agents. It serves until Ctrl-C. Started again with the same folder it continues
with every job that was accepted, however it ended. The site is described in
site.yaml in the folder, copied from deploy/up.yaml at the first start.`,
		Example: `  silvergate up --dir ./site --demo
  silvergate up --dir ./site
  silvergate submit --site ./site --wait examples/hello.yaml`,
		RunE: func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	cmd.Flags().StringVar(&f.dir, "dir", "", "the site's folder")
	cmd.Flags().StringVar(&f.settings, "settings", "", "a site's settings (YAML) instead of the folder's own")
	cmd.Flags().BoolVar(&f.demo, "demo", false, "run a first job, print what its tasks wrote and exit")
	_ = cmd.MarkFlagRequired("dir")
	return cmd
}

// open opens the site in the folder.
func (f *upFlags) open() (*site.Site, error) {
	var raw []byte
	if f.settings != "" {
		var err error
		if raw, err = os.ReadFile(f.settings); err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
	}
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	level := os.Getenv("LOG_LEVEL")
	if level == "" && f.demo {
		level = "error"
	}
	return site.Open(f.dir, raw, executable, newLogger(level).With("part", "up"))
}

// run starts the site and serves until SIGINT or SIGTERM; with --demo it runs one job and returns.
func (f *upFlags) run(c *cobra.Command) error {
	s, err := f.open()
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
	if f.demo {
		return runDemo(c, s)
	}
	f.showAddresses(out, s)
	select {
	case <-ctx.Done():
		fmt.Fprintln(out, "ending")
		return nil
	case err := <-s.Fatal():
		return err
	}
}

func (f *upFlags) showAddresses(out io.Writer, s *site.Site) {
	for i, a := range s.Ports.Addresses() {
		fmt.Fprintf(out, "controller stoker-%d  %s\n", i, a)
	}
	fmt.Fprintf(out, "state service        127.0.0.1:%d\ncloud                127.0.0.1:%d\n", s.Ports.State, s.Ports.Provider)
	fmt.Fprintf(out, "submit with: silvergate submit --site %s --wait JOB.yaml; Ctrl-C ends the site\n", f.dir)
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
	lastLine := ""
	st, err = k.wait(st.ID, demoLimit, func(st protocol.JobState) {
		if now := describe(st); now != lastLine {
			fmt.Fprintln(out, now)
			lastLine = now
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
