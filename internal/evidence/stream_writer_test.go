package evidence_test

import (
	"context"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/evidence"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/order"
)

const dataCentre fleet.DataCentre = "north"

// epoch is the time of the first record, in Unix milliseconds.
const epoch = 1_800_000_000_000

// streamWriter writes the records of test streams, with and without breaches.
type streamWriter struct {
	log    *fakes.Log
	server *fakes.Server
	seq    uint64
}

func newStreamWriter() *streamWriter {
	log := fakes.NewLog(fakes.DefaultAppendRate)
	server, err := fakes.StartServer("127.0.0.1:0", log.Handler())
	Expect(err).NotTo(HaveOccurred())
	return &streamWriter{log: log, server: server}
}

// write appends a record whose time is at milliseconds after the epoch.
func (w *streamWriter) write(stream string, at int64, kind logstream.Kind, body any) infra.Offset {
	encoded, err := logstream.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	w.seq++
	record, err := logstream.Marshal(logstream.Entry{Writer: "doctor", Seq: w.seq, Millis: epoch + at, Kind: kind, Body: encoded})
	Expect(err).NotTo(HaveOccurred())
	first, _ := w.log.Append(stream, [][]byte{record})
	return first
}

func (w *streamWriter) writeDigest(at int64, adjust func(*evidence.Digest)) {
	digest := evidence.Digest{
		Daemon: "d1", DataCentre: dataCentre, From: epoch + at, To: epoch + at + 60_000,
		Answers: evidence.Answers{Done: 5},
	}
	adjust(&digest)
	w.write(evidence.StreamName(dataCentre), at+60_000, evidence.KindDigest, digest)
}

// writeHealthy writes records without a breach and returns the group's fencing
// number.
func (w *streamWriter) writeHealthy() fleet.FencingNumber {
	first := w.write(config.StreamName, 0, config.KindPublish, config.Publish{})
	second := w.write(config.StreamName, 20_000, config.KindPublish, config.Publish{Base: first})
	stream := group.StreamName(dataCentre)
	formed := w.write(stream, 1_000, group.KindForm, group.Form{
		Model: "m", DataCentre: dataCentre, Members: []fleet.VMID{"a", "b"},
		Addresses: []string{"10.0.0.1:1", "10.0.0.2:1"}, Fences: make([]fleet.FencingNumber, 2),
	})
	fencing := fleet.FencingNumber(formed)
	boots := map[fleet.VMID]fleet.BootID{"a": "1", "b": "1"}
	w.write(stream, 2_000, group.KindReady, group.Ready{Group: fencing, Boots: boots})
	w.write(stream, 40_000, group.KindRelease, group.Release{Group: fencing, Reason: group.MemberLost})
	key := order.NewKey("merchants", "orders", "k1")
	slot := order.StreamName(order.SlotOf(key))
	claim := w.write(slot, 5_000, order.KindClaim, order.Claim{Key: key, LifetimeMillis: 1_000_000})
	w.write(slot, 5_100, order.KindOutcome, order.Outcome{Key: key, Claim: claim, State: order.Ran})
	w.writeDigest(0, func(digest *evidence.Digest) {
		digest.Groups = map[fleet.FencingNumber]evidence.GroupUse{fencing: {Attempts: 5, First: epoch + 2_500, Last: epoch + 39_000}}
		digest.Versions = []evidence.VersionInForce{{Version: first, At: epoch + 500}, {Version: second, At: epoch + 21_000}}
		digest.Final = true
	})
	return fencing
}

func (w *streamWriter) report() evidence.Report {
	records, err := evidence.Read(context.Background(), infra.NewHTTPLog(w.server.URL()), []fleet.DataCentre{dataCentre})
	Expect(err).NotTo(HaveOccurred())
	start := time.UnixMilli(epoch)
	span := evidence.Span{From: start, To: start.Add(time.Hour)}
	return evidence.Make(records, span, evidence.DefaultBounds, span.To)
}
