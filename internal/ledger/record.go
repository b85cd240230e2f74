package ledger

import (
	"slices"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// Record grants endpoints to a group.
type Record struct {
	Group string `cbor:"-"` // the record's key
	// Epoch is the group's fencing number: the ordinal of the position at which the record
	// was granted first.
	Epoch   uint64        `cbor:"-"`
	Service string        `cbor:"1,keyasint"`
	Model   string        `cbor:"2,keyasint"`
	Domain  string        `cbor:"3,keyasint"`
	Members []Member      `cbor:"4,keyasint"` // the first is the head
	Former  []FormerGroup `cbor:"5,keyasint"`
	// Dissolving reports whether the group is being dissolved: its members are free
	// once its heads have released it and the record is deleted.
	Dissolving bool `cbor:"6,keyasint"`
	// Era is the era of the store in which the record was written.
	Era uint64 `cbor:"7,keyasint,omitempty"`
	// RestoredEpoch is the epoch of a record that the store had forgotten and that was
	// written again, nil for any other.
	RestoredEpoch *uint64 `cbor:"8,keyasint,omitempty"`

	position uint64 // ordinal of the position at which the ledger last read the record
}

// Head returns the member that receives the group's requests.
func (r *Record) Head() Member { return r.Members[0] }

// Has reports whether an endpoint is a member.
func (r *Record) Has(id string) bool {
	return slices.ContainsFunc(r.Members, func(m Member) bool { return m.ID == id })
}

// Restored returns a copy of the record that keeps its epoch when it is written again.
func (r *Record) Restored() *Record {
	restored := *r
	restored.RestoredEpoch = &r.Epoch
	return &restored
}

// sharesMember reports whether an endpoint is a member of both records.
func (r *Record) sharesMember(other *Record) bool {
	return slices.ContainsFunc(r.Members, func(m Member) bool { return other.Has(m.ID) })
}

// epochAt returns the epoch of the record if it was written at an offset.
func (r *Record) epochAt(offset uint64) uint64 {
	if r.RestoredEpoch != nil {
		return *r.RestoredEpoch
	}
	return keyed.Position{Era: r.Era, Offset: offset}.Ordinal()
}
