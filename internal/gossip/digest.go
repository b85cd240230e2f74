package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Digest is what the daemons of one data centre tell, added up by one of them.
type Digest struct {
	Zone    string          `cbor:"1,keyasint"`
	AgeMS   int             `cbor:"2,keyasint"` // since it was made
	Members []Member        `cbor:"3,keyasint"`
	Traffic bool            `cbor:"5,keyasint,omitempty"`
	Config  int64           `cbor:"7,keyasint,omitempty"` // highest version in force
	Loads   map[uint32]Load `cbor:"8,keyasint,omitempty"` // sums, and the latest event
	Doubts  []Doubt         `cbor:"9,keyasint,omitempty"`
	Opened  []Doubt         `cbor:"11,keyasint,omitempty"`
	Crashes map[uint64]int  `cbor:"10,keyasint,omitempty"` // sums

	Returning []uint32 `cbor:"13,keyasint,omitempty"`
}

// add counts what one daemon told age ago.
func (d *Digest) add(message Message, age time.Duration) {
	d.Traffic = d.Traffic || message.Traffic
	d.Config = max(d.Config, message.Config)
	d.Doubts = append(d.Doubts, message.Doubts...)
	d.Opened = append(d.Opened, message.Opened...)
	d.Returning = append(d.Returning, message.Returning...)
	for key, load := range message.Loads {
		d.addLoad(key, load.later(age))
	}
	for fingerprint, count := range message.Crashes {
		if d.Crashes == nil {
			d.Crashes = map[uint64]int{}
		}
		d.Crashes[fingerprint] += count
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

// message returns the digest, made age ago, as if one daemon told it.
func (d *Digest) message(age time.Duration) Message {
	loads := make(map[uint32]Load, len(d.Loads))
	for key, load := range d.Loads {
		loads[key] = load.later(age)
	}
	return Message{Traffic: d.Traffic, Config: d.Config, Loads: loads, Doubts: d.Doubts, Opened: d.Opened, Returning: d.Returning}
}

// encode returns the digest as of now. It is nil if it cannot be encoded.
func (d Digest) encode(age time.Duration) cbor.RawMessage {
	d.AgeMS = int(age.Milliseconds())
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil // plain fields alone: it cannot fail
	}
	return data
}
