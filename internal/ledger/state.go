package ledger

import (
	"maps"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// State is the content of the ledger up to an offset. It is immutable.
type State struct {
	Groups map[string]*Record // by name
	End    uint64             // offset after the last record
	Era    uint64             // era of the store
	// Forgotten holds the names of the groups whose records the store has lost by coming back
	// from an older copy. No order may be sent under such a record before it is written again.
	Forgotten map[string]bool
	// Resurrected holds the records of the copy that are known to have been deleted, by name.
	Resurrected map[string]*Record
}

// RecordOfMember returns the record that grants an endpoint to a group, nil if
// there is none.
func (s *State) RecordOfMember(id string) *Record {
	for _, record := range s.Groups {
		if record.Has(id) {
			return record
		}
	}
	return nil
}

// EndEpoch returns an epoch that is not above that of any group granted later.
func (s *State) EndEpoch() uint64 {
	return keyed.Position{Era: s.Era, Offset: s.End}.Ordinal()
}

// clone returns a copy whose maps may be changed.
func (s *State) clone() *State {
	next := *s
	next.Groups = maps.Clone(s.Groups)
	next.Forgotten = maps.Clone(s.Forgotten)
	next.Resurrected = maps.Clone(s.Resurrected)
	return &next
}

// put sets the record of a group and voids the forgotten records that share a member with it:
// the store has granted that member to another group since.
func (s *State) put(record *Record) {
	s.Groups[record.Group] = record
	delete(s.Forgotten, record.Group)
	delete(s.Resurrected, record.Group)
	for name := range s.Forgotten {
		if s.Groups[name].sharesMember(record) {
			s.remove(name)
		}
	}
}

func (s *State) remove(name string) {
	delete(s.Groups, name)
	delete(s.Forgotten, name)
	delete(s.Resurrected, name)
}

func emptyState() *State {
	return &State{Groups: map[string]*Record{}, Forgotten: map[string]bool{}, Resurrected: map[string]*Record{}}
}
