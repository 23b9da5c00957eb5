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

// helperEnv selects what the test binary does in place of running tests.
const helperEnv = "PROC_TEST_HELPER"

// TestMain lets the test binary stand in for the programs that the tests start.
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
		if Hold() != nil {
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

// endSlowly holds what the kernel takes long to close: each inotify instance with a
// watch waits for a grace period. Its process stays in state D for up to a second after a
// SIGKILL, with its memory and so its environment gone.
func endSlowly() {
	for range 60 {
		fd, err := unix.InotifyInit()
		if err != nil {
			break // the user's limit; fewer do, too
		}
		if _, err := unix.InotifyAddWatch(fd, os.TempDir(), unix.IN_CREATE); err != nil {
			break
		}
	}
	fmt.Println("ready")
	time.Sleep(time.Hour)
}

// endMainThread ends the thread that the process is named after, and goes on in others.
func endMainThread() {
	go func() {
		time.Sleep(50 * time.Millisecond)
		fmt.Println("ready")
		time.Sleep(time.Hour)
	}()
	unix.RawSyscall(unix.SYS_EXIT, 0, 0, 0)
}

// The main goroutine keeps to the main thread, for endMainThread.
func init() { runtime.LockOSThread() }

// startHeldAndDie starts a held process, says its number and dies before it lets it go on.
func startHeldAndDie() {
	cmd := helperCommand("held", "")
	cmd.Stdout = os.Stdout
	_, _ = Start(cmd, func(id ID) error {
		fmt.Println(strconv.Itoa(id.PID))
		os.Exit(0)
		return nil
	})
}
