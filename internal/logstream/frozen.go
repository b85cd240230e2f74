package logstream

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// frozen is a state as of an offset, which is encoded when needed. It keeps the
// digest of the encoded form, not the form itself, which may be large.
type frozen struct {
	asOf infra.Offset
	fold func() ([]byte, error) // encodes the fold
	rest snapshot               // without the fold

	mu     sync.Mutex
	digest uint64 // zero when not encoded yet
}

// freeze returns the present state and forgets the idle writers.
func (s *state[F]) freeze() *frozen {
	maps.DeleteFunc(s.writers, func(_ string, known writerState) bool { return known.idle(s.next, s.window) })
	rest := snapshot{AsOf: s.next - 1, Writers: maps.Clone(s.writers), Last: s.last}
	return &frozen{asOf: rest.AsOf, fold: s.freezeFold(), rest: rest}
}

func (s *state[F]) freezeFold() func() ([]byte, error) {
	if freezer, ok := any(s.fold).(Freezer); ok {
		return freezer.Freeze()
	}
	data, err := s.fold.Encode()
	return func() ([]byte, error) { return data, err }
}

func (f *frozen) encode() (checkpoint, error) {
	data, err := f.fold()
	if err != nil {
		return checkpoint{}, err
	}
	whole := f.rest
	whole.State = data
	body, err := Marshal(whole)
	if err != nil {
		return checkpoint{}, err
	}
	encoded := checkpoint{asOf: f.asOf, digest: xxhash.Sum64(body), body: body}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.digest = encoded.digest
	return encoded, nil
}

// knownDigest returns the digest of the encoded form.
func (f *frozen) knownDigest() (uint64, error) {
	f.mu.Lock()
	digest := f.digest
	f.mu.Unlock()
	if digest != 0 {
		return digest, nil
	}
	encoded, err := f.encode()
	return encoded.digest, err
}
