package logstream

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/infra"
)

var _ = ginkgo.Describe("Snapshots in a separate stream", func() {
	const snapshotStream = testStream + ".snapshots"
	var log *fakes.Log
	var stream *Stream[*listFold]
	options := testOptions("a")
	options.SnapshotsApart = true

	references := func() (offsets []infra.Offset) {
		for _, record := range log.Records(testStream) {
			if kindOf(record.Data) == KindReference {
				offsets = append(offsets, record.Offset)
			}
		}
		return offsets
	}
	snapshotNow := func() {
		before := len(references())
		stream.ProposeSnapshot()
		Eventually(func() int { return len(references()) }, eventuallyTimeout, pollInterval).Should(BeNumerically(">", before))
	}
	newFollower := func() *Stream[*listFold] { return New(newHookedLog(log), testStream, newListFold(), options) }

	ginkgo.BeforeEach(func() {
		log = fakes.NewLog(fakes.DefaultAppendRate)
		stream = runStream(newHookedLog(log), newListFold(), options)
		for value := 1; value <= 5; value++ {
			propose(stream, value)
		}
		snapshotNow()
		propose(stream, 6)
	})

	ginkgo.It("bootstrap a follower after the records expired, and are not in the main stream", func() {
		log.Expire(testStream, references()[0])
		follower := newFollower()
		Expect(follower.poll(context.Background())).To(Succeed())
		Expect(valuesOf(follower)).To(Equal([]int{1, 2, 3, 4, 5, 6}))
		for _, record := range log.Records(testStream) {
			Expect(kindOf(record.Data)).NotTo(Equal(KindSnapshot))
		}
		Expect(log.Records(snapshotStream)).NotTo(BeEmpty())
	})

	ginkgo.DescribeTable("are replaced by an older one",
		func(damage func(newest infra.Offset)) {
			snapshotNow()
			damage(infra.Offset(len(log.Records(snapshotStream))))
			log.Expire(testStream, references()[0])
			follower := newFollower()
			Expect(follower.poll(context.Background())).To(Succeed())
			Expect(valuesOf(follower)).To(Equal([]int{1, 2, 3, 4, 5, 6}))
		},
		ginkgo.Entry("when the log lost the newest one", func(newest infra.Offset) { log.Truncate(snapshotStream, newest) }),
		ginkgo.Entry("when another record is at the offset of the newest one", func(newest infra.Offset) {
			log.Truncate(snapshotStream, newest)
			asOf := references()[1] - 1
			state, _ := Marshal(newListFold())
			body, _ := Marshal(snapshot{AsOf: asOf, State: state})
			packed, _ := compress(body)
			entryBody, _ := Marshal(packed)
			data, _ := Marshal(Entry{Writer: "b", Kind: KindSnapshot, Body: entryBody})
			log.Append(snapshotStream, [][]byte{data})
		}),
	)

	ginkgo.It("are written only once the records since the last one are at least as large as it", func() {
		log = fakes.NewLog(fakes.DefaultAppendRate)
		frequent := options
		frequent.SnapshotEvery = 4
		stream = runStream(newHookedLog(log), newListFold(), frequent)
		for value := 100; len(references()) < 5; value++ {
			propose(stream, value)
			Expect(value).To(BeNumerically("<", 1000))
		}
		snapshotBytes, recordBytes := 0, 0 // of the newest snapshot, and of the records after it
		for _, record := range log.Records(testStream) {
			var entry Entry
			Expect(Unmarshal(record.Data, &entry)).To(Succeed())
			if ref, ok := asReference(entry, record.Offset); ok {
				Expect(recordBytes).To(BeNumerically(">=", snapshotBytes))
				snapshotBytes, recordBytes = ref.Bytes, 0
			}
			recordBytes += len(record.Data)
		}
	})
})
