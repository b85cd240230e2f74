package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/gomega"
)

const meterInterval = 20 * time.Millisecond

// meter samples what a process uses, and what the system holds for its connections.
type meter struct {
	pid   int
	ports map[string]bool // in hexadecimal
	over  chan struct{}
	most  chan use
}

// use is the most that a process used.
type use struct {
	memoryMB    float64 // resident
	queuedMB    float64 // bytes that have been received and not read, or written and not delivered
	descriptors int
}

func (u use) String() string {
	return fmt.Sprintf("%.0f MB resident, %.1f MB in sockets, %d descriptors", u.memoryMB, u.queuedMB, u.descriptors)
}

func (u use) expectWithin(memoryMB, descriptors int) {
	Expect(u.memoryMB+u.queuedMB).To(BeNumerically("<=", memoryMB), "MB: %s", u)
	Expect(u.descriptors).To(BeNumerically("<=", descriptors), "%s", u)
}

// startMeter begins to sample a process that listens on addresses.
func startMeter(pid int, addresses ...string) *meter {
	m := &meter{pid: pid, ports: map[string]bool{}, over: make(chan struct{}), most: make(chan use, 1)}
	for _, address := range addresses {
		m.ports[fmt.Sprintf("%04X", portOf(address))] = true
	}
	go m.run()
	return m
}

func (m *meter) run() {
	var most use
	for {
		most.queuedMB = max(most.queuedMB, m.queuedMB())
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.pid)); err == nil {
			most.descriptors = max(most.descriptors, len(open))
		}
		most.memoryMB = max(most.memoryMB, m.peakMB())
		select {
		case <-m.over:
			m.most <- most
			return
		case <-time.After(meterInterval):
		}
	}
}

// stop returns the most that was used.
func (m *meter) stop() use {
	close(m.over)
	return <-m.most
}

// peakMB returns the most resident memory so far.
func (m *meter) peakMB() float64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid))
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0 // it has ended
	}
	kb, _ := strconv.ParseFloat(fields[0], 64)
	return kb / 1024
}

// queuedMB returns what the queues of the connections to the ports hold.
func (m *meter) queuedMB() float64 {
	total := uint64(0)
	for _, path := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		table, _ := os.ReadFile(path)
		for line := range strings.Lines(string(table)) {
			fields := strings.Fields(line)
			if len(fields) < 5 || fields[3] == "0A" { // a listener's queue is connections
				continue
			}
			_, port, _ := strings.Cut(fields[1], ":")
			if !m.ports[port] {
				continue
			}
			sent, received, _ := strings.Cut(fields[4], ":")
			for _, queue := range []string{sent, received} {
				bytes, _ := strconv.ParseUint(queue, 16, 64)
				total += bytes
			}
		}
	}
	return float64(total) / (1 << 20)
}
