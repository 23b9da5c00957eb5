// Command growsite writes a copy of a bench site file with more machines and more work.
//
//	go run ./tools/growsite --factor 4 --out /tmp/x4 ../given/kit/more/fleet/shiftbook-akl-fleet.toml
//
// It multiplies the machines, the initial jobs, the arrival rates, the limits of the teams and
// the number of machines that a machine fault hits. The controllers, their limits and the rates
// of the state service stay as they are.
package main

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"
)

// wireFile is the file that a site file needs in its folder.
const wireFile = "wire.json"

func main() {
	var factor float64
	var out string
	cmd := &cobra.Command{
		Use:           "growsite --factor N --out DIR SITE",
		Short:         "Write a copy of a bench site file with more machines and more work",
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(_ *cobra.Command, args []string) error {
			return writeGrownSite(args[0], out, factor)
		},
	}
	cmd.Flags().Float64Var(&factor, "factor", 2, "how many times the machines and the work")
	cmd.Flags().StringVar(&out, "out", "", "the folder for the copy")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "growsite:", err)
		os.Exit(1)
	}
}

// writeGrownSite writes the grown copy of the site file at path, and a copy of its wireFile, into the folder out.
func writeGrownSite(path, out string, factor float64) error {
	if !(factor > 0) || math.IsInf(factor, 0) {
		return errors.New("--factor: must be a positive number")
	}
	if out == "" {
		return errors.New("--out: missing")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	grown, err := grow(raw, factor)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(path), wireFile))
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(out, wireFile), wire, 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(out, filepath.Base(path)), grown, 0o644)
}

// grow multiplies the machines and the work of a site file by factor.
func grow(raw []byte, factor float64) ([]byte, error) {
	var site map[string]any
	if err := toml.Unmarshal(raw, &site); err != nil {
		return nil, err
	}
	for _, capacity := range tables(site["capacity"]) {
		multiply(capacity, factor, "count", "spot")
	}
	for _, team := range tables(site["teams"]) {
		multiply(team, factor, "gpus", "gpus_max", "cpus", "cpus_max")
	}
	for _, class := range tables(site["jobs"]) {
		multiply(class, factor, "initial")
		if arrivals, ok := class["arrivals"].(map[string]any); ok {
			multiply(arrivals, factor, "rate")
		}
	}
	for _, day := range tables(site["day"]) {
		for _, fault := range tables(day["faults"]) {
			if kind, _ := fault["kind"].(string); len(kind) > 8 && kind[:8] == "machine_" {
				multiply(fault, factor, "count")
			}
		}
	}
	return toml.Marshal(site)
}

// tables returns the tables in a list. The file may write it as an array of tables or inline.
func tables(value any) []map[string]any {
	list, _ := value.([]any)
	var out []map[string]any
	for _, entry := range list {
		if table, ok := entry.(map[string]any); ok {
			out = append(out, table)
		}
	}
	return out
}

// multiply scales the named numbers that the table has. An integer is rounded and stays an integer.
func multiply(table map[string]any, factor float64, names ...string) {
	for _, name := range names {
		switch number := table[name].(type) {
		case int64:
			table[name] = int64(math.Round(float64(number) * factor))
		case float64:
			table[name] = number * factor
		}
	}
}
