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

// blockingWriter is a writer that blocks until unblocked is closed.
type blockingWriter struct {
	mu        sync.Mutex
	unblocked chan struct{}
	written   bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *blockingWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

var _ = Describe("The asynchronous writer", func() {
	It("writes all buffered lines in order", func() {
		out := &blockingWriter{unblocked: make(chan struct{})}
		close(out.unblocked)
		w := logging.NewAsyncWriter(out)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := w.Write([]byte(line))
			Expect(err).NotTo(HaveOccurred())
		}
		w.Close()
		Expect(out.String()).To(Equal("a\nb\nc\n"))
	})

	It("does not block if the output is not read, and reports the number of dropped lines", func() {
		out := &blockingWriter{unblocked: make(chan struct{})}
		w := logging.NewAsyncWriter(out)
		for range 20000 {
			_, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(w.Dropped()).To(BeNumerically(">", 0))
		close(out.unblocked)
		Eventually(out.String, 2*time.Second).Should(ContainSubstring("log lines dropped"))
		w.Close()
		Expect(strings.Count(out.String(), "line\n") + int(w.Dropped())).To(Equal(20000))
	})
})

var _ = Describe("Long lines that wait", func() {
	// Guards against lines with texts of callers that add up while the output is not read.
	It("are dropped beyond 2 MB", func() {
		released := make(chan struct{})
		out := &blockedWriter{released: released}
		w := logging.NewAsyncWriter(out)
		line := []byte(strings.Repeat("x", 16<<10) + "\n")
		for range 1000 {
			_, err := w.Write(line)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(w.Dropped()).To(BeNumerically(">=", 1000-(2<<20+64<<10)/len(line)))
		close(released)
		w.Close()
		Expect(out.written).To(BeNumerically(">", 1<<20))
	})
})

// blockedWriter counts what is written once it is released.
type blockedWriter struct {
	released chan struct{}
	written  int
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.released
	w.written += len(data)
	return len(data), nil
}
