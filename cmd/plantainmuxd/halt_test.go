package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	. "github.com/onsi/gomega"
)

// halt stops a process, and returns once it stands still: the signal alone may take a while beside load.
func halt(process *os.Process) {
	Expect(process.Signal(syscall.SIGSTOP)).To(Succeed())
	Eventually(func() error { return standsStill(process.Pid) }, "2s", "1ms").Should(Succeed())
}

// standsStill fails if a thread of a process is not stopped.
func standsStill(pid int) error {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return err
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil {
			return err
		}
		if _, state, found := bytes.Cut(stat, []byte(") ")); !found || state[0] != 'T' {
			return fmt.Errorf("thread is not stopped: %s", stat)
		}
	}
	return nil
}
