package logstream

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/infra"
)

const (
	firstTailSpan = 256     // records of the first read back from the end
	beyondEnd     = 1 << 62 // offset that no stream reaches
)

// tail is the end of a stream: the newest usable snapshot and the records after
// it.
type tail struct {
	oldest   infra.Offset
	next     infra.Offset
	snapshot *snapshot // nil when none is needed or retained
	records  []infra.Record
}

// tailReader reads a stream backwards until it finds a snapshot.
type tailReader struct {
	log    infra.Log
	stream string
}

// read returns the end of the stream from a snapshot on, or from the offset
// needed on when the records reach that far back.
func (r tailReader) read(ctx context.Context, needed infra.Offset) (tail, error) {
	end, err := r.log.Read(ctx, r.stream, beyondEnd, 1, 0)
	if err != nil {
		return tail{}, err
	}
	found := tail{oldest: end.Oldest, next: end.Next}
	stop := max(end.Oldest, min(needed, end.Next))
	low := end.Next
	for span := infra.Offset(firstTailSpan); low > stop; span *= 2 {
		from := stop
		if low > stop+span {
			from = low - span
		}
		if err := r.extend(ctx, &found, from, low); err != nil {
			return tail{}, err
		}
		low = from
		if done, err := r.useSnapshot(ctx, &found, low); done || err != nil {
			return found, err
		}
	}
	return found, nil
}

// extend puts the records of [from, to) before those that were read.
func (r tailReader) extend(ctx context.Context, found *tail, from, to infra.Offset) error {
	var records []infra.Record
	for from < to {
		page, err := r.log.Read(ctx, r.stream, from, min(readLimit, int(to-from)), 0)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return &RegressedError{Stream: r.stream, Applied: to - 1, Next: page.Next}
		}
		records = append(records, page.Records...)
		from = page.Records[len(page.Records)-1].Offset + 1
	}
	found.records = append(records, found.records...)
	return nil
}

// useSnapshot looks for a snapshot that the retained records continue, and
// reads the records between its state and the record that carries or names it.
func (r tailReader) useSnapshot(ctx context.Context, found *tail, low infra.Offset) (bool, error) {
	for i := len(found.records) - 1; i >= 0; i-- {
		candidate, err := r.load(ctx, found.records[i], found.oldest)
		if err != nil {
			return false, err
		}
		if candidate == nil {
			continue
		}
		if from := candidate.AsOf + 1; from < low {
			if err := r.extend(ctx, found, from, low); err != nil {
				return false, err
			}
		}
		found.snapshot = candidate
		return true, nil
	}
	return false, nil
}

// load returns the snapshot that a record carries or names. It is nil when there
// is none, or none that the records from oldest on continue.
func (r tailReader) load(ctx context.Context, record infra.Record, oldest infra.Offset) (*snapshot, error) {
	var entry Entry
	if Unmarshal(record.Data, &entry) != nil {
		return nil, nil
	}
	covered, ok := coverageOf(entry, record.Offset)
	if !ok || covered.asOf+1 < oldest {
		return nil, nil
	}
	if named, ok := asReference(entry, record.Offset); ok {
		return r.readApart(ctx, named)
	}
	var carried snapshot
	if Unmarshal(entry.Body, &carried) != nil {
		return nil, nil
	}
	return &carried, nil
}
