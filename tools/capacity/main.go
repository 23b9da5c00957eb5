// Command capacity computes the tables of docs/CAPACITY.md from the measured slopes in
// docs/capacity.yaml, so that the page and the measurements can't drift apart.
//
//	go run ./tools/capacity           checks that the page has the computed tables
//	go run ./tools/capacity --write   writes the tables into the page
//
// Exit status: 0, the page is up to date or was written; 1, it is out of date or an error occurred.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"silvergate/internal/config"
)

// Files that the command reads, in the folder of --docs. It writes the page.
const (
	slopesFile = "capacity.yaml"
	pageFile   = "CAPACITY.md"
)

// Markers around the tables in the page.
const (
	beginMarker = "<!-- tables: written by tools/capacity -->\n"
	endMarker   = "<!-- end of tables -->\n"
)

func main() {
	var dir string
	var write bool
	cmd := &cobra.Command{
		Use: "capacity [--write]", Short: "Compute the tables of docs/CAPACITY.md from the measured slopes", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error { return run(dir, write) },
	}
	cmd.Flags().StringVar(&dir, "docs", "docs", "the folder of both files")
	cmd.Flags().BoolVar(&write, "write", false, "write the tables into the page")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(dir string, write bool) error {
	raw, err := os.ReadFile(filepath.Join(dir, slopesFile))
	if err != nil {
		return err
	}
	model, err := parse(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", slopesFile, err)
	}
	path := filepath.Join(dir, pageFile)
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	want, err := replaceTables(page, model.tables())
	if err != nil {
		return fmt.Errorf("%s: %w", pageFile, err)
	}
	if bytes.Equal(page, want) {
		return nil
	}
	if !write {
		return errors.New(pageFile + " does not have the tables computed from the slopes: run tools/capacity --write")
	}
	return os.WriteFile(path, want, 0o644)
}

// replaceTables returns the page with tables as the text between its markers.
func replaceTables(page []byte, tables string) ([]byte, error) {
	before, rest, begun := bytes.Cut(page, []byte(beginMarker))
	_, after, ended := bytes.Cut(rest, []byte(endMarker))
	if !begun || !ended {
		return nil, errors.New("the markers of the tables are missing")
	}
	return bytes.Join([][]byte{before, []byte(beginMarker), []byte(tables), []byte(endMarker), after}, nil), nil
}

// parse decodes and checks the model. The error names a slope that is invalid or missing.
func parse(raw []byte) (*model, error) {
	m := &model{}
	if err := config.DecodeYAML(raw, m); err != nil {
		return nil, err
	}
	for name, s := range m.Slopes {
		if !(s.Median > 0 && s.Min <= s.Median && s.Median <= s.Max) || s.Points < 1 || s.Command == "" {
			return nil, fmt.Errorf("slopes.%s: must have a median between least and most, points and a command", name)
		}
	}
	for _, name := range requiredSlopes {
		if _, ok := m.Slopes[name]; !ok {
			return nil, fmt.Errorf("slopes.%s: missing", name)
		}
	}
	return m, nil
}
