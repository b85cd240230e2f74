package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/logging"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
	text   bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.opened
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func (g *gate) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

var _ = Describe("The writer of log lines", func() {
	It("writes all that was queued, in order", func() {
		out := &gate{opened: make(chan struct{})}
		close(out.opened)
		w := logging.NewAsyncWriter(out)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := w.Write([]byte(line))
			Expect(err).NotTo(HaveOccurred())
		}
		w.Close()
		Expect(out.String()).To(Equal("a\nb\nc\n"))
	})

	It("blocks nobody when its lines are not taken, and tells how many it dropped", func() {
		out := &gate{opened: make(chan struct{})}
		w := logging.NewAsyncWriter(out)
		for range 20000 {
			_, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(w.Dropped()).To(BeNumerically(">", 0))
		close(out.opened)
		Eventually(out.String, 2*time.Second).Should(ContainSubstring("log lines dropped"))
		w.Close()
		Expect(strings.Count(out.String(), "line\n") + int(w.Dropped())).To(Equal(20000))
	})
})
