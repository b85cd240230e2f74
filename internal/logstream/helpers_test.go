package logstream

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/infra"
)

const (
	testStream        = "test"
	kindAdd           = Kind("add")
	eventuallyTimeout = 20 * time.Second
	pollInterval      = 5 * time.Millisecond
)

// rejectedValueError is the error with which a listFold rejects a value.
type rejectedValueError struct{}

func (rejectedValueError) Error() string { return "divisible by seven" }

// listFold is the list of accepted values in order, including duplicates. It
// rejects multiples of seven.
type listFold struct {
	Values []int  `cbor:"1,keyasint"`
	Chain  uint64 `cbor:"2,keyasint"` // hash chain over the accepted records
	window infra.Offset
	trace  map[infra.Offset]uint64 // Chain after the record at each accepted offset
}

func newListFold() *listFold {
	return &listFold{window: defaultDedupWindow, trace: map[infra.Offset]uint64{}}
}

func (f *listFold) WriterWindow() infra.Offset { return f.window }

func (f *listFold) Apply(at Position, _ Kind, body cbor.RawMessage) error {
	var value int
	if err := Unmarshal(body, &value); err != nil {
		return err
	}
	if value%7 == 0 {
		return rejectedValueError{}
	}
	f.Values = append(f.Values, value)
	f.Chain = xxhash.Sum64String(fmt.Sprint(f.Chain, at.Offset, value))
	f.trace[at.Offset] = f.Chain
	return nil
}

func (f *listFold) Encode() ([]byte, error) { return Marshal(f) }

func (f *listFold) Decode(data []byte) error {
	f.Values = nil
	return Unmarshal(data, f)
}

func (f *listFold) count(value int) int {
	n := 0
	for _, v := range f.Values {
		if v == value {
			n++
		}
	}
	return n
}

// hookedLog lets a spec intercept the calls of one client.
type hookedLog struct {
	infra.Log
	mu     sync.Mutex
	append func(stream string, records [][]byte) (infra.Offset, error)
	read   func(from infra.Offset, limit int) error
}

func (l *hookedLog) hook(append func(string, [][]byte) (infra.Offset, error), read func(infra.Offset, int) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.append, l.read = append, read
}

func (l *hookedLog) Append(ctx context.Context, stream string, records [][]byte) (infra.Offset, error) {
	l.mu.Lock()
	hook := l.append
	l.mu.Unlock()
	if hook != nil {
		return hook(stream, records)
	}
	return l.Log.Append(ctx, stream, records)
}

func (l *hookedLog) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) (infra.Page, error) {
	l.mu.Lock()
	hook := l.read
	l.mu.Unlock()
	if hook != nil {
		if err := hook(from, limit); err != nil {
			return infra.Page{}, err
		}
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

func testOptions(writer string) Options {
	return Options{
		Writer:        writer,
		PollWait:      20 * time.Millisecond,
		SnapshotEvery: 32,
		SnapshotCheck: 5 * time.Millisecond,
		Logger:        slog.New(slog.DiscardHandler),
	}
}

// runStream runs a stream until the spec ends.
func runStream(log infra.Log, fold *listFold, options Options) *Stream[*listFold] {
	s := New(log, testStream, fold, options)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	ginkgo.DeferCleanup(func() { cancel(); <-done })
	return s
}

func newHookedLog(log *fakes.Log) *hookedLog {
	return &hookedLog{Log: fakes.NewFaultyLog(log, 1, fakes.LogFaults{})}
}

func propose(s *Stream[*listFold], value int) Receipt {
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	receipt, err := s.Propose(ctx, kindAdd, value)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return receipt
}

func valuesOf(s *Stream[*listFold]) []int {
	var values []int
	s.Read(func(f *listFold) { values = append(values, f.Values...) })
	return values
}

func logEnd(log *fakes.Log) infra.Offset {
	page, _ := log.Read(context.Background(), testStream, beyondEnd, 1, 0)
	return page.Next
}

// rawRecord encodes a record in the format of a writer.
func rawRecord(writer string, seq uint64, since infra.Offset, value int) []byte {
	body, err := Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	data, err := Marshal(Entry{Writer: writer, Seq: seq, Kind: kindAdd, Body: body, Since: since})
	Expect(err).NotTo(HaveOccurred())
	return data
}

func kindOf(record []byte) Kind {
	var entry Entry
	Expect(Unmarshal(record, &entry)).To(Succeed())
	return entry.Kind
}
