package proc

import (
	"errors"
	"fmt"
	"os"
	"os/exec"

	"golang.org/x/sys/unix"
)

// holdFD is where a held process waits for its starter's word.
const holdFD = 3

// holdEnv tells a process that it is held.
const holdEnv = "SILVERGATE_HELD"

// Start starts a command held. keep is called with its identity and must write
// it down; if it fails, or this process dies meanwhile, the command ends
// without having done anything. The command must call Hold first.
func Start(cmd *exec.Cmd, keep func(ID) error) (ID, error) {
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
	if err == nil && keep != nil {
		err = keep(id)
	}
	if err == nil {
		_, err = w.Write([]byte{1})
	}
	if err != nil {
		w.Close() // lets it end
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return ID{}, err
	}
	return id, nil
}

// startRegistered starts a command so that it is not taken for an orphan.
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

// Hold waits for the word of a starter, in a process that was started held; in
// any other it returns at once. It returns an error when the starter is gone.
func Hold() error {
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

// AwaitEnd returns when a child has ended, without taking its end: it stays
// there, and its group's number with it, until it is waited for.
func AwaitEnd(pid int) error {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WEXITED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}
