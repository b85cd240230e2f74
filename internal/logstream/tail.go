package logstream

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/infra"
)

const (
	initialTailSpan = 256     // number of records in the first backward read
	beyondEnd       = 1 << 62 // an offset above that of any record
)

// tail is the end of a stream: the newest usable snapshot and the records after
// the offset that it covers.
type tail struct {
	oldest   infra.Offset
	next     infra.Offset
	snapshot *snapshot // nil when none is needed or retained
	records  []infra.Record
}

// tailReader reads a stream backwards until it finds a usable snapshot.
type tailReader struct {
	log    infra.Log
	stream string
}

// read returns the newest usable snapshot and the records after it, or all records
// from the offset needed when they are read before a snapshot is found.
func (r tailReader) read(ctx context.Context, needed infra.Offset) (tail, error) {
	end, err := r.log.Read(ctx, r.stream, beyondEnd, 1, 0)
	if err != nil {
		return tail{}, err
	}
	found := tail{oldest: end.Oldest, next: end.Next}
	stop := max(end.Oldest, min(needed, end.Next))
	low := end.Next
	for span := infra.Offset(initialTailSpan); low > stop; span *= 2 {
		from := stop
		if low > stop+span {
			from = low - span
		}
		if err := r.prepend(ctx, &found, from, low); err != nil {
			return tail{}, err
		}
		low = from
		if done, err := r.findSnapshot(ctx, &found, low); done || err != nil {
			return found, err
		}
	}
	return found, nil
}

// prepend reads the records of [from, to) and inserts them before those already
// read.
func (r tailReader) prepend(ctx context.Context, found *tail, from, to infra.Offset) error {
	var records []infra.Record
	for from < to {
		page, err := r.log.Read(ctx, r.stream, from, min(maxPageRecords, int(to-from)), 0)
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

// findSnapshot searches the records read so far, newest first, for a snapshot from
// which the retained records continue without a gap. It also reads the records
// between the offset that the snapshot covers and low.
func (r tailReader) findSnapshot(ctx context.Context, found *tail, low infra.Offset) (bool, error) {
	for i := len(found.records) - 1; i >= 0; i-- {
		candidate, err := r.loadSnapshot(ctx, found.records[i], found.oldest)
		if err != nil {
			return false, err
		}
		if candidate == nil {
			continue
		}
		if from := candidate.AsOf + 1; from < low {
			if err := r.prepend(ctx, found, from, low); err != nil {
				return false, err
			}
		}
		found.snapshot = candidate
		return true, nil
	}
	return false, nil
}

// loadSnapshot returns the snapshot that a record carries or references. It returns
// nil when there is none, or when records between the snapshot and oldest have
// expired.
func (r tailReader) loadSnapshot(ctx context.Context, record infra.Record, oldest infra.Offset) (*snapshot, error) {
	var entry Entry
	if Unmarshal(record.Data, &entry) != nil {
		return nil, nil
	}
	info, ok := snapshotInfoOf(entry, record.Offset)
	if !ok || info.asOf+1 < oldest {
		return nil, nil
	}
	if ref, ok := asReference(entry, record.Offset); ok {
		return r.readFromSnapshotStream(ctx, ref)
	}
	var carried snapshot
	if Unmarshal(entry.Body, &carried) != nil {
		return nil, nil
	}
	return &carried, nil
}
