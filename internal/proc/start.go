package proc

import (
	"errors"
	"fmt"
	"os"
	"os/exec"

	"golang.org/x/sys/unix"
)

// holdFD is the file descriptor from which a held process reads its starter's release.
const holdFD = 3

// holdEnv is the environment variable that tells a process that it was started held.
const holdEnv = "SILVERGATE_HELD"

// Start starts a command held and releases it after store has stored its identity. If store
// fails, or this process dies before the release, the command ends without having done
// anything. The command must call WaitForRelease first.
func Start(cmd *exec.Cmd, store func(ID) error) (ID, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return ID{}, err
	}
	defer w.Close()
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, holdEnv+"=1")
	cmd.ExtraFiles = append([]*os.File{r}, cmd.ExtraFiles...)
	id, err := startRegistered(cmd)
	r.Close()
	if cmd.Process == nil {
		return ID{}, err
	}
	if err == nil && store != nil {
		err = store(id)
	}
	if err == nil {
		_, err = w.Write([]byte{1})
	}
	if err != nil {
		w.Close() // makes WaitForRelease fail, so that the command ends
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return ID{}, err
	}
	return id, nil
}

// startRegistered starts a command and registers it as a child, so that EndOrphans does not
// take it for an orphan.
func startRegistered(cmd *exec.Cmd) (ID, error) {
	started.Lock()
	defer started.Unlock()
	if err := cmd.Start(); err != nil {
		return ID{}, err
	}
	id, err := Identify(cmd.Process.Pid)
	registerChild(id)
	return id, err
}

// WaitForRelease blocks until the starter releases this process, if the process was started held
// by Start; otherwise it returns at once. It returns an error if the starter is gone.
func WaitForRelease() error {
	if os.Getenv(holdEnv) == "" {
		return nil
	}
	if err := os.Unsetenv(holdEnv); err != nil {
		return err
	}
	f := os.NewFile(holdFD, "starter")
	defer f.Close()
	if n, err := f.Read(make([]byte, 1)); n != 1 {
		return fmt.Errorf("the starting process is gone: %w", err)
	}
	return nil
}

// AwaitEnd returns when a child has ended, but does not reap it: the child stays a zombie,
// and its group's number stays in use, until it is waited for.
func AwaitEnd(pid int) error {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WEXITED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}
