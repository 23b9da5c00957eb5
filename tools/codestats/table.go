package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Formats of the table.
const (
	formatPlain    = "plain"
	formatMarkdown = "markdown"
)

// Headings of the columns of counts, and labels of single findings.
var (
	headings = [kindCount]string{"functions > 60 lines", "files > 500 lines", "structs > 20 fields", "undocumented", "withdrawn words"}
	labels   = [kindCount]string{"long function", "long file", "large struct", "undocumented", "withdrawn word"}
)

// tablePrinter returns the function that prints rows in the given format.
func tablePrinter(format string) (func(io.Writer, [][]string) error, error) {
	switch format {
	case formatPlain:
		return printPlain, nil
	case formatMarkdown:
		return printMarkdown, nil
	}
	return nil, fmt.Errorf("--format: %q is neither %s nor %s", format, formatPlain, formatMarkdown)
}

// tableRows returns the heading, a row for each package, and the total.
func tableRows(packages []*packageCount) [][]string {
	rows := [][]string{append([]string{"package"}, headings[:]...)}
	var total [kindCount]int
	for _, pkg := range packages {
		rows = append(rows, countRow(pkg.folder, pkg.counts))
		for k, count := range pkg.counts {
			total[k] += count
		}
	}
	return append(rows, countRow("total", total))
}

func countRow(name string, counts [kindCount]int) []string {
	row := []string{name}
	for _, count := range counts {
		row = append(row, strconv.Itoa(count))
	}
	return row
}

func printPlain(out io.Writer, rows [][]string) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

func printMarkdown(out io.Writer, rows [][]string) error {
	rule := []string{"---"}
	for range kindCount {
		rule = append(rule, "---:")
	}
	lines := [][]string{rows[0], rule}
	for _, row := range append(lines, rows[1:]...) {
		if _, err := fmt.Fprintf(out, "| %s |\n", strings.Join(row, " | ")); err != nil {
			return err
		}
	}
	return nil
}

// printFindings prints all findings with their positions, one per line.
func printFindings(out io.Writer, packages []*packageCount) error {
	for _, pkg := range packages {
		for _, found := range pkg.findings {
			if _, err := fmt.Fprintf(out, "%s: %s: %s\n", found.position, labels[found.kind], found.text); err != nil {
				return err
			}
		}
	}
	return nil
}
