package main

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
)

// silentStore is a platform whose store, while silent, answers on no connection.
type silentStore struct {
	*fakes.WirePlatform
	silent atomic.Bool
	ended  chan struct{}
}

func (s *silentStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.silent.Load() {
		<-s.ended
		panic(http.ErrAbortHandler)
	}
	s.WirePlatform.ServeHTTP(w, r)
}

var _ = Describe("A daemon's process whose connections to the store are silent", func() {
	// Guards against a daemon that says ready and takes no connections, or reads none of their requests.
	It("answers orders on new connections while endpoints are lost and a configuration comes", func() {
		wire, err := fakes.StartWirePlatform([]string{"n"}, 6)
		Expect(err).NotTo(HaveOccurred())
		platform := &silentStore{WirePlatform: wire, ended: make(chan struct{})}
		store, err := fakes.StartServer("127.0.0.1:0", platform)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Kill)
		DeferCleanup(func() { close(platform.ended) })
		d := newDaemonBefore(wire, store, "n-1")
		d.start(exec.Command(binary, "--platform", "--settings", d.settings))
		d.awaitService()
		operate := func(method, path string) {
			wire.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(method, path, nil))
		}
		answered := func(i int) (status any) {
			conn := d.dial()
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			_, _ = fmt.Fprintf(conn, order, fmt.Sprint("new", i))
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return err.Error()
			}
			_ = answer.Body.Close()
			return answer.StatusCode
		}
		var answers []any
		ready := 0
		const rounds = 120 // 6 s or longer
		for i := range rounds {
			switch i {
			case 10:
				platform.silent.Store(true)
			case 20, 40:
				operate(http.MethodPost, "/fake/kill-head?zone=n")
			case 30:
				operate(http.MethodDelete, "/fake/operators/config")
			case 100:
				platform.silent.Store(false)
			}
			answers = append(answers, answered(i))
			if d.isReady() {
				ready++
			}
			time.Sleep(50 * time.Millisecond)
		}
		Expect(answers).To(HaveEach(http.StatusOK))
		Expect(ready).To(Equal(rounds))
	})
})
