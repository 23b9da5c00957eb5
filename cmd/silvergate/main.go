// Command silvergate is a cluster scheduler: a few equal controllers that take
// jobs, rent machines and run tasks on workers.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "silvergate:", err)
		os.Exit(exitStatus(err))
	}
}
