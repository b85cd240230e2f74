package logstream

import (
	"bytes"
	"compress/flate"
	"context"
	"io"

	"github.com/cespare/xxhash/v2"
)

// snapshotSuffix is added to the name of a stream for its snapshots.
const snapshotSuffix = ".snapshots"

// SnapshotStreamName returns the name of the stream that holds the snapshots of
// a stream with Options.SnapshotsApart.
func SnapshotStreamName(stream string) string { return stream + snapshotSuffix }

// appendApart appends a snapshot to the stream of snapshots and returns the
// reference to it.
func (s *Stream[F]) appendApart(ctx context.Context, encoded checkpoint) (reference, error) {
	body, err := compress(encoded.body)
	if err != nil {
		return reference{}, err
	}
	packed, err := Marshal(body)
	if err != nil {
		return reference{}, err
	}
	data, err := Marshal(Entry{Writer: s.options.Writer, Millis: s.options.Now().UnixMilli(), Kind: KindSnapshot, Body: packed})
	if err != nil {
		return reference{}, err
	}
	at, err := s.log.Append(ctx, SnapshotStreamName(s.name), [][]byte{data})
	if err != nil {
		return reference{}, err
	}
	return reference{AsOf: encoded.asOf, At: at, Digest: encoded.digest, Bytes: len(data)}, nil
}

// readApart returns the snapshot that a reference names, or nil when it has
// expired or is another one.
func (r tailReader) readApart(ctx context.Context, named reference) (*snapshot, error) {
	page, err := r.log.Read(ctx, SnapshotStreamName(r.stream), named.At, 1, 0)
	if _, expired := asExpired(err); expired {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(page.Records) == 0 {
		return nil, nil
	}
	return unpack(page.Records[0].Data, named), nil
}

// unpack returns the snapshot of a record, or nil when it is not the one that
// was named.
func unpack(data []byte, named reference) *snapshot {
	var entry Entry
	var packed []byte
	if Unmarshal(data, &entry) != nil || Unmarshal(entry.Body, &packed) != nil {
		return nil
	}
	body, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
	if err != nil || xxhash.Sum64(body) != named.Digest {
		return nil
	}
	var found snapshot
	if Unmarshal(body, &found) != nil || found.AsOf != named.AsOf {
		return nil
	}
	return &found
}

func compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(data); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}
