package fakes

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A faulty log", func() {
	const appends = 200
	const stream = "stream"
	delayed := LogFaults{Delay: 1, MaxDelay: time.Millisecond}

	appendAll := func(client *FaultyLog) {
		for range appends {
			_, err := client.Append(context.Background(), stream, [][]byte{{1}})
			Expect(err).To(HaveOccurred())
		}
	}

	ginkgo.It("waits for every append that was delayed", func() {
		log := NewLog(DefaultAppendRate)
		client := NewFaultyLog(log, 1, delayed)
		appendAll(client)
		client.WaitLate()
		Expect(log.Records(stream)).To(HaveLen(appends))
	})

	ginkgo.It("may be waited for while others append", func() {
		log := NewLog(DefaultAppendRate)
		client := NewFaultyLog(log, 1, delayed)
		appended := make(chan struct{})
		go func() {
			defer ginkgo.GinkgoRecover()
			defer close(appended)
			appendAll(client)
		}()
		waitUntil(appended, client.WaitLate)
		client.WaitLate()
		Expect(log.Records(stream)).To(HaveLen(appends))
	})
})

// waitUntil calls wait again and again until done is closed.
func waitUntil(done <-chan struct{}, wait func()) {
	for {
		select {
		case <-done:
			return
		default:
			wait()
		}
	}
}
