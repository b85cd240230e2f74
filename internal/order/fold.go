package order

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/logstream"
)

const (
	// unclearAfter is the time after its deadline at which an unsettled claim may
	// be marked as unclear.
	unclearAfter = time.Minute
	// maxKeyLifetime bounds the lifetime of a key. It equals the longest lifetime
	// that a configuration may declare.
	maxKeyLifetime = 366 * 24 * time.Hour
)

// Fold is the state of one slot, built by applying the records of its stream in
// order.
type Fold struct {
	records  table
	clock    clock
	expiries expiries
	unclear  int // number of unclear orders
}

// foldState is the encoded form of a Fold.
type foldState struct {
	Records map[Key]*Record `cbor:"1,keyasint"`
	Clock   clock           `cbor:"3,keyasint"`
}

// NewFold returns the state of an empty slot.
func NewFold() *Fold {
	return &Fold{}
}

// Find returns the record of a key.
func (f *Fold) Find(key Key) (Record, bool) {
	return f.records.find(key)
}

// Len returns the number of keys in the slot.
func (f *Fold) Len() int { return f.records.size }

// Unclear returns the number of unclear orders.
func (f *Fold) Unclear() int { return f.unclear }

// Each calls visit with every record, in no particular order.
func (f *Fold) Each(visit func(Record)) {
	f.records.each(func(record *Record) { visit(*record) })
}

// Apply implements logstream.Fold. Keys expire by stream time, so every daemon
// drops a key at the same offset.
func (f *Fold) Apply(at logstream.Position, kind logstream.Kind, body cbor.RawMessage) error {
	f.clock.observe(at)
	f.expire()
	switch kind {
	case KindClaim:
		return applyAs(at, body, f.claim)
	case KindOutcome:
		return applyAs(at, body, f.outcome)
	case KindWithdrawal:
		return applyAs(at, body, f.withdraw)
	case KindDoubt:
		return applyAs(at, body, f.doubt)
	case KindSettlement:
		return applyAs(at, body, f.settle)
	case KindDirectRun:
		return applyAs(at, body, f.directRun)
	case KindTick:
		return nil
	default:
		return &logstream.UnknownKindError{Kind: kind}
	}
}

func applyAs[T any](at logstream.Position, body cbor.RawMessage, apply func(logstream.Position, T) error) error {
	var decoded T
	if err := logstream.Unmarshal(body, &decoded); err != nil {
		return err
	}
	return apply(at, decoded)
}

func (f *Fold) expire() {
	now := f.clock.now()
	for {
		due, ok := f.expiries.popDue(now)
		if !ok {
			return
		}
		if record, kept := f.records.find(due.key); kept && record.ExpiresMillis <= now {
			f.unclear += record.ifUnclear(-1)
			f.records.remove(due.key)
		}
	}
}

// Encode implements logstream.Fold.
func (f *Fold) Encode() ([]byte, error) {
	return f.Freeze()()
}

// Freeze implements logstream.Freezer.
func (f *Fold) Freeze() func() ([]byte, error) {
	records := f.records.freeze()
	clock := f.clock.clone()
	return func() ([]byte, error) {
		return logstream.Marshal(foldState{Records: records.all(), Clock: clock})
	}
}

// Decode implements logstream.Fold.
func (f *Fold) Decode(data []byte) error {
	state := foldState{}
	if err := logstream.Unmarshal(data, &state); err != nil {
		return err
	}
	*f = Fold{clock: state.Clock}
	for key, record := range state.Records {
		f.unclear += record.ifUnclear(1)
		f.records.put(key, *record)
		f.expiries.add(key, record.ExpiresMillis)
	}
	return nil
}
