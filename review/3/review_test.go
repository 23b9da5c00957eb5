//go:build review

package main

import (
	"os"
	"os/exec"
	"testing"
)

func TestReviewCase3(t *testing.T) {
	cmd := exec.Command("./run.sh")
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if err := cmd.Run(); err != nil {
		t.Fatal(err)
	}
}
