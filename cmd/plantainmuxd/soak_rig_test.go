package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

const (
	soakDaemons     = 2
	soakDescriptors = 300
	soakPeriod      = 7 * time.Second
	soakAnswerBound = 6 * time.Second // the longest deadline and the grace that may follow it
)

// soakOutcome is what a caller of the soak got for one request.
type soakOutcome struct {
	id, kind string
	status   int   // 0: no answer
	err      error // of a request without a complete answer
}

// soak is callers of several kinds before daemons that get signals.
type soak struct {
	seed    uint64
	daemons []*daemonProcess
	ended   chan struct{} // closed: callers begin nothing more
	callers sync.WaitGroup
	mu      sync.Mutex
	results []soakOutcome
	open    []net.Conn // that are kept without a request, or unread
}

func newSoak(seed uint64) *soak {
	s := &soak{seed: seed, daemons: newDaemonProcesses(soakDaemons), ended: make(chan struct{})}
	for _, d := range s.daemons {
		s.start(d)
	}
	for _, d := range s.daemons {
		d.awaitService()
	}
	return s
}

func (s *soak) start(d *daemonProcess) {
	d.start(exec.Command("bash", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" --platform --settings "$1"`, soakDescriptors), binary, d.settings))
}

func (s *soak) record(o soakOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, o)
}

func (s *soak) over() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// run starts a caller that calls turn until the soak is over. turn gets a name of its own each time.
func (s *soak) run(name string, turn func(id string, random *rand.Rand)) {
	random := rand.New(rand.NewPCG(s.seed, uint64(len(name))+uint64(name[len(name)-1])))
	s.callers.Go(func() {
		for i := 0; !s.over(); i++ {
			turn(fmt.Sprintf("%s-%d-%d", name, s.seed, i), random)
			time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		}
	})
}

func (s *soak) dial(random *rand.Rand) net.Conn {
	conn, err := net.DialTimeout("tcp", s.daemons[random.IntN(len(s.daemons))].callers, time.Second)
	if err != nil {
		return nil
	}
	return conn
}

// keep leaves a connection open until the end.
func (s *soak) keep(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = append(s.open, conn)
}

// answer reads the answer to a request of a kind, which was written whole.
func (s *soak) answer(id, kind string, conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(soakAnswerBound))
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.record(soakOutcome{id: id, kind: kind, err: err})
		return false
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	switch {
	case err != nil:
	case answer.StatusCode == http.StatusOK && kind == "order" && !strings.Contains(string(body), "body="+id):
		err = fmt.Errorf("the answer is to another request: %q", body)
	case answer.StatusCode == http.StatusOK && kind == "stream" && strings.Count(string(body), "data: ") != streamLength:
		err = fmt.Errorf("the stream has %d events", strings.Count(string(body), "data: "))
	}
	s.record(soakOutcome{id: id, kind: kind, status: answer.StatusCode, err: err})
	return err == nil
}

const streamLength = 20 // events of 30 ms each

func (s *soak) head(id, path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nModel: big\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n", path, id, length)
}

// orders sends orders on a connection that is used until the daemon closes it, some with a slow body.
func (s *soak) orders(name string) {
	var conn net.Conn
	var reader *bufio.Reader
	s.run(name, func(id string, random *rand.Rand) {
		if conn == nil {
			if conn = s.dial(random); conn == nil {
				return
			}
			reader = bufio.NewReader(conn)
		}
		_, err := io.WriteString(conn, s.head(id, "/order/"+id, len(id)))
		if err == nil && random.IntN(8) == 0 {
			time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
		}
		if err == nil {
			_, err = io.WriteString(conn, id)
		}
		if err != nil || !s.answer(id, "order", conn, reader) {
			_ = conn.Close()
			conn = nil
		}
	})
}

// streams reads streams, each on a connection of its own.
func (s *soak) streams(name string) {
	s.run(name, func(id string, random *rand.Rand) {
		conn := s.dial(random)
		if conn == nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, s.head(id, "/talk/"+id, 0)); err == nil {
			s.answer(id, "stream", conn, bufio.NewReader(conn))
		}
	})
}

// strays opens connections that bring half a head, nothing, or a stream that is not read.
func (s *soak) strays(name string) {
	s.run(name, func(id string, random *rand.Rand) {
		conn := s.dial(random)
		if conn == nil {
			return
		}
		text := s.head(id, "/talk/"+id, 0)
		_, _ = io.WriteString(conn, []string{"", text[:random.IntN(len(text))], text}[random.IntN(3)])
		s.keep(conn)
	})
}

// disturb sends signals to the daemons in series that overlap, and starts those again that were stopped.
func (s *soak) disturb() {
	random := rand.New(rand.NewPCG(s.seed, 0))
	var stopping sync.WaitGroup
	stopped := make([]bool, len(s.daemons)) // each once
	sessions := make([]*gexec.Session, len(s.daemons))
	for i, d := range s.daemons {
		sessions[i] = d.session
	}
	for until := time.Now().Add(soakPeriod); time.Now().Before(until); {
		time.Sleep(time.Duration(100+random.IntN(500)) * time.Millisecond)
		at := random.IntN(len(s.daemons))
		d, session := s.daemons[at], sessions[at]
		signal := func(signals ...syscall.Signal) {
			for _, signal := range signals {
				_ = session.Command.Process.Signal(signal) // fails once the process has ended
			}
		}
		switch random.IntN(4) {
		case 0:
			signal(syscall.SIGHUP, syscall.SIGHUP)
		case 1:
			signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			signal(syscall.SIGCONT)
		case 2:
			signal(syscall.SIGPIPE)
		case 3:
			if stopped[at] {
				continue
			}
			stopped[at] = true
			signal(syscall.SIGTERM, syscall.SIGHUP)
			stopping.Go(func() {
				defer GinkgoRecover()
				Eventually(session, "8s").Should(gexec.Exit(0), "seed %d", s.seed)
				s.start(d)
			})
		}
	}
	stopping.Wait()
}

// finish ends the callers and closes the connections that were kept.
func (s *soak) finish() {
	close(s.ended)
	s.callers.Wait()
	for _, conn := range s.open {
		_ = conn.Close()
	}
}
