package order

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/logstream"
)

// Fold is the state of one slot.
type Fold struct {
	records map[Key]Record
}

// NewFold returns an empty slot.
func NewFold() *Fold {
	return &Fold{records: map[Key]Record{}}
}

// Find returns the record of a key.
func (f *Fold) Find(key Key) (Record, bool) {
	record, ok := f.records[key]
	return record, ok
}

// Apply implements logstream.Fold.
func (f *Fold) Apply(at logstream.Position, kind logstream.Kind, body cbor.RawMessage) error {
	switch kind {
	case KindClaim:
		var claim Claim
		if err := logstream.Unmarshal(body, &claim); err != nil {
			return err
		}
		return f.claim(at, claim)
	case KindOutcome:
		var outcome Outcome
		if err := logstream.Unmarshal(body, &outcome); err != nil {
			return err
		}
		return f.settle(outcome)
	default:
		return &logstream.UnknownKindError{Kind: kind}
	}
}

// claim grants a key to the first claimant, and again only after an outcome
// proved that it did not run.
func (f *Fold) claim(at logstream.Position, claim Claim) error {
	if record, ok := f.records[claim.Key]; ok && record.State != NotRan {
		return &ClaimedError{Record: record}
	}
	f.records[claim.Key] = Record{
		Claim:     claim,
		Offset:    at.Offset,
		Writer:    at.Writer,
		ClaimedAt: at.Time,
		State:     Claimed,
	}
	return nil
}

func (f *Fold) settle(outcome Outcome) error {
	record, ok := f.records[outcome.Key]
	if !ok || record.Offset != outcome.Claim || record.State == Ran || record.State == NotRan {
		return &NotClaimantError{Key: outcome.Key}
	}
	record.State = outcome.State
	record.Answer = outcome.Answer
	f.records[outcome.Key] = record
	return nil
}

// Encode implements logstream.Fold.
func (f *Fold) Encode() ([]byte, error) {
	return logstream.Marshal(f.records)
}

// Decode implements logstream.Fold.
func (f *Fold) Decode(data []byte) error {
	records := map[Key]Record{}
	if err := logstream.Unmarshal(data, &records); err != nil {
		return err
	}
	f.records = records
	return nil
}
