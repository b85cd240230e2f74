package ledger

import "slices"

// Record grants endpoints to a group.
type Record struct {
	Group   string   `cbor:"-"` // the record's key
	Epoch   uint64   `cbor:"-"` // the record's offset
	Service string   `cbor:"1,keyasint"`
	Model   string   `cbor:"2,keyasint"`
	Domain  string   `cbor:"3,keyasint"`
	Members []Member `cbor:"4,keyasint"` // the first is the head
	Former  []Former `cbor:"5,keyasint"`
	// Ending says that the group is being dissolved: its members are free once its
	// heads have released it and the record is deleted.
	Ending bool `cbor:"6,keyasint"`
}

// Head returns the member that receives the group's requests.
func (r *Record) Head() Member { return r.Members[0] }

// Has reports whether an endpoint is a member.
func (r *Record) Has(id string) bool {
	return slices.ContainsFunc(r.Members, func(m Member) bool { return m.ID == id })
}
