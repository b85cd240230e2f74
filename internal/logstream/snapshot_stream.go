package logstream

import (
	"bytes"
	"compress/flate"
	"context"
	"io"

	"github.com/cespare/xxhash/v2"
)

// snapshotSuffix is appended to the name of a stream to name its snapshot
// stream.
const snapshotSuffix = ".snapshots"

// SnapshotStreamName returns the name of the stream that stores the snapshots
// of a stream with Options.SnapshotsApart.
func SnapshotStreamName(stream string) string { return stream + snapshotSuffix }

// appendToSnapshotStream appends a snapshot to the snapshot stream and returns
// a reference to it.
func (s *Stream[F]) appendToSnapshotStream(ctx context.Context, encoded encodedSnapshot) (reference, error) {
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

// readFromSnapshotStream returns the snapshot that a reference identifies,
// or nil when it has expired or does not match the reference.
func (r tailReader) readFromSnapshotStream(ctx context.Context, ref reference) (*snapshot, error) {
	page, err := r.log.Read(ctx, SnapshotStreamName(r.stream), ref.At, 1, 0)
	if _, expired := asExpired(err); expired {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(page.Records) == 0 {
		return nil, nil
	}
	return decodeSnapshotRecord(page.Records[0].Data, ref), nil
}

// decodeSnapshotRecord returns the snapshot in a record, or nil when the record
// cannot be decoded or does not match the reference.
func decodeSnapshotRecord(data []byte, ref reference) *snapshot {
	var entry Entry
	var compressed []byte
	if Unmarshal(data, &entry) != nil || Unmarshal(entry.Body, &compressed) != nil {
		return nil
	}
	body, err := io.ReadAll(flate.NewReader(bytes.NewReader(compressed)))
	if err != nil || xxhash.Sum64(body) != ref.Digest {
		return nil
	}
	var found snapshot
	if Unmarshal(body, &found) != nil || found.AsOf != ref.AsOf {
		return nil
	}
	return &found
}

func compress(data []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(data); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}
