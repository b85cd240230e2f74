package fakes

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("waiting for delayed appends of a faulty log", func() {
	const appends = 200
	const stream = "stream"
	delayed := LogFaults{Delay: 1, MaxDelay: time.Millisecond}

	appendAll := func(client *FaultyLog) {
		for range appends {
			_, err := client.Append(context.Background(), stream, [][]byte{{1}})
			Expect(err).To(HaveOccurred())
		}
	}

	ginkgo.It("returns after every delayed append has taken effect", func() {
		log := NewLog(DefaultAppendRate)
		client := NewFaultyLog(log, 1, delayed)
		appendAll(client)
		client.WaitLate()
		Expect(log.Records(stream)).To(HaveLen(appends))
	})

	ginkgo.It("is safe while other goroutines append", func() {
		log := NewLog(DefaultAppendRate)
		client := NewFaultyLog(log, 1, delayed)
		appended := make(chan struct{})
		go func() {
			defer ginkgo.GinkgoRecover()
			defer close(appended)
			appendAll(client)
		}()
		callUntil(appended, client.WaitLate)
		client.WaitLate()
		Expect(log.Records(stream)).To(HaveLen(appends))
	})
})

// callUntil calls wait repeatedly until done is closed.
func callUntil(done <-chan struct{}, wait func()) {
	for {
		select {
		case <-done:
			return
		default:
			wait()
		}
	}
}
