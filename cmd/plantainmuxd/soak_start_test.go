package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	handlersBound = 10 * time.Second
	handlersPause = 20 * time.Millisecond // the last of the signals follows at once
)

// handlesSignals reports whether a daemon's process has taken over its signals: of these it ignores SIGPIPE.
func (d *daemonProcess) handlesSignals() bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.session.Command.Process.Pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(text)) {
		if mask, found := strings.CutPrefix(line, "SigIgn:"); found {
			ignored, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
			return err == nil && ignored&(1<<(syscall.SIGPIPE-1)) != 0
		}
	}
	return false
}
