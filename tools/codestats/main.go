// Command codestats counts what makes the code hard to read, package by package.
//
//	go run ./tools/codestats [--words a,b] [--list] [--format markdown] [DIR]
//
// It parses the Go files of the module at DIR, except tests, and counts long
// functions, long files, large structs, exported names without a doc comment and
// identifiers that contain a withdrawn word.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// defaultWords are the withdrawn words: identifiers should not contain them.
var defaultWords = strings.Fields(`stamp life session ledger told gone draw tally deaf beat word line hungry
	vouch proved permit home mark turn dark lit tired hire`)

// options are the command's flags.
type options struct {
	words  []string
	list   bool
	format string
}

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "codestats:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var opts options
	cmd := &cobra.Command{
		Use:           "codestats [DIR]",
		Short:         "Count what makes the code hard to read, package by package",
		Args:          cobra.MaximumNArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			dir := "."
			if len(args) > 0 {
				dir = args[0]
			}
			return run(cmd.OutOrStdout(), dir, opts)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&opts.words, "words", defaultWords, "the words to be withdrawn from identifiers")
	flags.BoolVar(&opts.list, "list", false, "also print the position of everything that is counted")
	flags.StringVar(&opts.format, "format", formatPlain, "the table's format: plain or markdown")
	return cmd
}

// run counts the module at dir and writes the table and, with --list, the positions of all findings after it.
func run(out io.Writer, dir string, opts options) error {
	printTable, err := tablePrinter(opts.format)
	if err != nil {
		return err
	}
	packages, err := countModule(dir, opts.words)
	if err != nil {
		return err
	}
	if err := printTable(out, tableRows(packages)); err != nil {
		return err
	}
	if !opts.list {
		return nil
	}
	return printFindings(out, packages)
}
