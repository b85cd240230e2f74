//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const program = "target/plantainmuxd" // as deploy/system.toml builds and runs it

// daemon is a process of the project.
type daemon struct {
	name, zone           string
	callers, ready, peer string
	settings             string // path
	command              *exec.Cmd
	ended                chan struct{} // closed when the process has ended
	state                *os.ProcessState
}

// settingsText is what deploy/settings.yaml.tmpl gives for a small deployment, on loopback.
const settingsText = `node: %q
data_centre: %q
zones: {"za": "r", "zb": "r"}
store: %q
first: %t
listen:
  callers: %q
  readiness: %q
  host: "127.0.0.1"
  first_port: %d
  last_port: %d
limits: {memory_mb: %d, cpu_share: 0.4}
bounds:
  grace_s: 8
  stability_window_ms: 3000
  configuration_ms: 2000
  retry_share: 0.2
  retry_slack: 134
  retry_window_s: 10
`

const memoryMB = 284

// newDaemon takes free ports for a daemon. It doesn't start it.
func newDaemon(name, zone string) *daemon {
	return &daemon{name: name, zone: zone, callers: freePort(), ready: freePort(), peer: freePort()}
}

func freePort() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		couldNotRun("no free port: %v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// writeSettings writes the settings file; first states that the whole fleet starts for the first time.
func (d *daemon) writeSettings(folder, storeAddress string, first bool) {
	d.settings = filepath.Join(folder, d.name+".yaml")
	_, port, _ := net.SplitHostPort(d.peer)
	var number int
	_, _ = fmt.Sscan(port, &number)
	text := fmt.Sprintf(settingsText, d.name, d.zone, storeAddress, first, d.callers, d.ready, number, number, memoryMB)
	if err := os.WriteFile(d.settings, []byte(text), 0o644); err != nil {
		couldNotRun("settings: %v", err)
	}
}

// start starts the process; its lines go to a file in folder.
func (d *daemon) start(folder string) {
	out, err := os.OpenFile(filepath.Join(folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		couldNotRun("log of %s: %v", d.name, err)
	}
	defer out.Close()
	d.command = exec.Command(program, "--platform")
	d.command.Env = append(os.Environ(), "PLANTAINMUX_CONFIG="+d.settings)
	d.command.Stdout, d.command.Stderr = out, out
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		couldNotRun("%s doesn't start: %v", d.name, err)
	}
	d.ended = make(chan struct{})
	command, ended := d.command, d.ended
	go func() {
		_ = command.Wait()
		d.state = command.ProcessState
		close(ended)
	}()
}

func (d *daemon) signal(s syscall.Signal) { _ = d.command.Process.Signal(s) }

func (d *daemon) running() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// kill ends the process, if it runs.
func (d *daemon) kill() {
	if d.command != nil && d.running() {
		d.signal(syscall.SIGKILL)
		<-d.ended
	}
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + d.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// await repeats a question until it is answered with yes; otherwise the case could not run.
func await(limit time.Duration, what string, question func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if question() {
			return
		}
	}
	couldNotRun("%s: not within %v", what, limit)
}
