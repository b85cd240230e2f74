//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	program     = "target/plantainmuxd" // as the deploy file builds and runs it
	startPeriod = 15 * time.Second
)

// world is a small deployment: a store, engines and daemons.
type world struct {
	trouble bool
	began   time.Time
	folder  string
	store   *store

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
	ended   atomic.Bool
}

func newWorld(recordPath string, trouble bool) *world {
	record, err := os.Create(recordPath)
	if err != nil {
		cannotRun("%v", err)
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		cannotRun("%v", err)
	}
	w := &world{trouble: trouble, began: time.Now(), folder: folder, store: newStore(), record: record}
	running = w
	w.note("trouble %v", trouble)
	return w
}

// note writes a line into the record, with the seconds since the beginning.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// say writes a line into the record and to standard output.
func (w *world) say(format string, arguments ...any) {
	w.note(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// end kills the daemons that still run and removes the temporary folder.
func (w *world) end() {
	if w.ended.Swap(true) {
		return
	}
	for _, d := range w.daemons {
		d.kill()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.folder)
}

// daemon is one entry machine.
type daemon struct {
	world     *world
	name      string
	zone      string
	callers   string
	ready     string
	host      string
	port      int
	storeGate *gate // between the daemon and the store

	readAt       atomic.Int64 // Unix nanoseconds of the daemon's last read of the entries from the store
	configReadAt atomic.Int64 // the same for the operators' topic
	groupsReadAt atomic.Int64 // the same for the daemons' own topic of groups

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// addDaemon adds a machine without starting its process.
func (w *world) addDaemon(name, zone string) *daemon {
	d := &daemon{world: w, name: name, zone: zone, callers: freeAddress(), ready: freeAddress(), host: ownIP}
	_, port, _ := net.SplitHostPort(freeAddress())
	_, _ = fmt.Sscan(port, &d.port)
	d.storeGate = newGate(w.serveStore(d.noteRead))
	w.daemons = append(w.daemons, d)
	return d
}

// noteRead notes that the store has answered a read of the daemon.
func (d *daemon) noteRead(topic string) {
	switch topic {
	case topicEngines:
		d.readAt.Store(time.Now().UnixNano())
	case topicOperators:
		d.configReadAt.Store(time.Now().UnixNano())
	case topicGroups:
		d.groupsReadAt.Store(time.Now().UnixNano())
	}
}

// serveStore returns an address at which the store answers, which calls answered after each answer.
func (w *world) serveStore(answered func(topic string)) string {
	listener, err := net.Listen("tcp", ownIP+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	handler := func(rw http.ResponseWriter, r *http.Request) {
		w.store.ServeHTTP(rw, r)
		answered(r.URL.Query().Get("topic"))
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(handler)) }()
	return listener.Addr().String()
}

// start starts the process with the command of the deploy file and settings like those that its template renders.
func (d *daemon) start(first bool) {
	settings := fmt.Sprintf(`node: %q
data_centre: %q
zones: {a: r, b: r, c: r}
store: %q
first: %v
listen: {callers: %q, readiness: %q, host: %q, first_port: %d, last_port: %d}
limits: {memory_mb: 284, cpu_share: 0.4, file_descriptors: 4100}
bounds:
  grace_s: 8
  stability_window_ms: 3000
  configuration_ms: 2000
  retry_share: 0.2
  retry_slack: 134
  retry_window_s: 10
  load_window_s: 5
  load_overshoot: 1.1
`, d.name, d.zone, d.storeGate.address, first, d.callers, d.ready, d.host, d.port, d.port)
	path := filepath.Join(d.world.folder, d.name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		cannotRun("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(d.world.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(program, "--platform")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PLANTAINMUX_CONFIG=" + path}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		cannotRun("%v", err)
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.process, d.exited = process, exited
	d.mu.Unlock()
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	d.world.note("daemon %s started, process %d", d.name, process.Process.Pid)
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Process.Signal(s)
		d.world.note("signal %v to daemon %s", s, d.name)
	}
}

// kill kills the process and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	process, exited := d.process, d.exited
	d.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-exited
}

// isReady asks as the platform's balancer does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + d.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady() {
	for end := time.Now().Add(startPeriod); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range w.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(w.daemons) {
			return
		}
		if time.Now().After(end) {
			cannotRun("only %d of %d daemons are ready", ready, len(w.daemons))
		}
	}
}

// ownIP is a loopback address that other cases played at the same time do not use.
var ownIP = fmt.Sprintf("127.%d.%d.%d", 1+rand.N(250), 1+rand.N(250), 1+rand.N(250))

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	listener, err := net.Listen("tcp", ownIP+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
