package proc

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"silvergate/internal/proptest"
)

// helperEnv names the helper that the test binary runs instead of the tests.
const helperEnv = "PROC_TEST_HELPER"

// TestMain runs a helper instead of the tests if helperEnv is set: the tests start the test
// binary again as the programs that they need.
func TestMain(m *testing.M) {
	if name := os.Getenv(helperEnv); name != "" {
		helper(name)
		os.Exit(1)
	}
	proptest.Main(m)
}

func helper(name string) {
	switch name {
	case "held":
		if WaitForRelease() != nil {
			os.Exit(3)
		}
		fmt.Println("ready")
		time.Sleep(time.Hour)
	case "starter":
		startHeldAndDie()
	case "slow-end":
		endSlowly()
	case "main-thread-ends":
		endMainThread()
	}
}

// endSlowly opens inotify instances with a watch each, which the kernel is slow to close: closing
// each one waits for a grace period. After a SIGKILL the process stays in state D for up to a
// second, and its memory, with its environment, is already gone.
func endSlowly() {
	for range 60 {
		fd, err := unix.InotifyInit()
		if err != nil {
			break // the user's limit is reached; fewer instances are enough
		}
		if _, err := unix.InotifyAddWatch(fd, os.TempDir(), unix.IN_CREATE); err != nil {
			break
		}
	}
	fmt.Println("ready")
	time.Sleep(time.Hour)
}

// endMainThread ends the main thread, whose ID is the PID, while other threads go on.
func endMainThread() {
	go func() {
		time.Sleep(50 * time.Millisecond)
		fmt.Println("ready")
		time.Sleep(time.Hour)
	}()
	unix.RawSyscall(unix.SYS_EXIT, 0, 0, 0)
}

// The main goroutine is locked to the main thread, as endMainThread needs it.
func init() { runtime.LockOSThread() }

// startHeldAndDie starts a held process, prints its PID and exits before it releases the process.
func startHeldAndDie() {
	cmd := helperCommand("held", "")
	cmd.Stdout = os.Stdout
	_, _ = Start(cmd, func(id ID) error {
		fmt.Println(strconv.Itoa(id.PID))
		os.Exit(0)
		return nil
	})
}
