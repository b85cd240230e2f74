package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/evacuation"
)

// Digest aggregates the messages of the daemons of one data centre. A hub builds it.
type Digest struct {
	DataCentre string          `cbor:"1,keyasint"`
	AgeMS      int             `cbor:"2,keyasint"` // since the digest was built
	Members    []Member        `cbor:"3,keyasint"`
	Traffic    bool            `cbor:"5,keyasint,omitempty"`
	Config     int64           `cbor:"7,keyasint,omitempty"` // highest configuration version in force
	Loads      map[uint32]Load `cbor:"8,keyasint,omitempty"` // by HashKey of the target: summed counts and the age of the latest event
	Suspicions []Suspicion     `cbor:"9,keyasint,omitempty"`
	NewGroups  []Suspicion     `cbor:"11,keyasint,omitempty"`

	FailedRequests []uint32 `cbor:"13,keyasint,omitempty"`
	CutOff         []uint32 `cbor:"16,keyasint,omitempty"` // of Members, those that are cut off from the endpoints

	Evacuations []evacuation.Report `cbor:"17,keyasint,omitempty"` // the latest of each data centre
	Demand      []demand.Report     `cbor:"18,keyasint,omitempty"` // sum over Members
}

// add merges the message that a daemon sent age ago into the digest.
func (d *Digest) add(message Message, age time.Duration) {
	d.Traffic = d.Traffic || message.Traffic
	d.Config = max(d.Config, message.Config)
	d.Suspicions = append(d.Suspicions, aged(message.Suspicions, age)...)
	d.NewGroups = append(d.NewGroups, message.NewGroups...)
	d.FailedRequests = append(d.FailedRequests, message.FailedRequests...)
	d.Evacuations = evacuation.Latest(d.Evacuations, message.Evacuations)
	for key, load := range message.Loads {
		d.addLoad(key, load.aged(age))
	}
	if len(message.Demand) > 0 {
		d.Demand = demand.Sum(d.Demand, message.Demand)
	}
}

// addMember adds the state of a daemon. What members have in common with daemons of earlier
// versions keeps its form.
func (d *Digest) addMember(member Member, cutOff bool) {
	d.Members = append(d.Members, member)
	if cutOff {
		d.CutOff = append(d.CutOff, member.Hash)
	}
}

func (d *Digest) addLoad(key uint32, load Load) {
	if d.Loads == nil {
		d.Loads = map[uint32]Load{}
	}
	sum, known := d.Loads[key]
	if !known {
		d.Loads[key] = load
		return
	}
	d.Loads[key] = sum.plus(load)
}

// message returns a digest that was built age ago in the form of a single daemon's message.
func (d *Digest) message(age time.Duration) Message {
	loads := make(map[uint32]Load, len(d.Loads))
	for key, load := range d.Loads {
		loads[key] = load.aged(age)
	}
	return Message{
		Traffic: d.Traffic, Config: d.Config, Loads: loads, Suspicions: aged(d.Suspicions, age), NewGroups: d.NewGroups, FailedRequests: d.FailedRequests,
		Evacuations: d.Evacuations, Demand: d.Demand,
	}
}

// encode returns the digest in CBOR with its current age. It returns nil if encoding fails.
func (d Digest) encode(age time.Duration) cbor.RawMessage {
	d.AgeMS = int(age.Milliseconds())
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil // unreachable: all fields are encodable
	}
	return data
}
