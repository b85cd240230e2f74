package logstream

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// frozenState is the state as of an offset, encoded on demand. It caches the digest
// of the encoded state but not the encoding itself, which may be large.
type frozenState struct {
	asOf   infra.Offset
	fold   func() ([]byte, error) // encodes the fold
	header snapshot               // fields other than the state of the fold

	mu     sync.Mutex
	digest uint64 // 0 until the state was encoded
}

// freeze returns the current state and removes the idle writers from it.
func (s *state[F]) freeze() *frozenState {
	maps.DeleteFunc(s.writers, func(_ string, w writerState) bool { return w.idle(s.next, s.dedupWindow) })
	rest := snapshot{AsOf: s.next - 1, Writers: maps.Clone(s.writers), Last: s.lastDigest}
	return &frozenState{asOf: rest.AsOf, fold: s.freezeFold(), header: rest}
}

func (s *state[F]) freezeFold() func() ([]byte, error) {
	if freezer, ok := any(s.fold).(Freezer); ok {
		return freezer.Freeze()
	}
	data, err := s.fold.Encode()
	return func() ([]byte, error) { return data, err }
}

func (f *frozenState) encode() (encodedSnapshot, error) {
	data, err := f.fold()
	if err != nil {
		return encodedSnapshot{}, err
	}
	complete := f.header
	complete.State = data
	body, err := Marshal(complete)
	if err != nil {
		return encodedSnapshot{}, err
	}
	encoded := encodedSnapshot{asOf: f.asOf, digest: xxhash.Sum64(body), body: body}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.digest = encoded.digest
	return encoded, nil
}

// encodedDigest returns the digest of the encoded state.
func (f *frozenState) encodedDigest() (uint64, error) {
	f.mu.Lock()
	digest := f.digest
	f.mu.Unlock()
	if digest != 0 {
		return digest, nil
	}
	encoded, err := f.encode()
	return encoded.digest, err
}
