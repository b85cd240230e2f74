package config

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// StreamName is the stream that holds the configurations.
const StreamName = "config"

// KindPublish puts a configuration in force.
const KindPublish logstream.Kind = "publish"

// writerWindow is the number of records after which a publisher is forgotten.
const writerWindow infra.Offset = 1024

// Publish is the body of a KindPublish record.
type Publish struct {
	Base          infra.Offset  `json:"base"` // version in force that the change was made from
	Configuration Configuration `json:"configuration"`
}

// Fold is the configuration in force.
type Fold struct {
	current Versioned
}

// NewFold returns a fold without a configuration.
func NewFold() *Fold {
	return &Fold{}
}

// Current returns the configuration in force.
func (f *Fold) Current() Versioned {
	return f.current
}

// Apply implements logstream.Fold. A publication is accepted only on top of the
// version in force at its offset, so of two racing operators one loses.
func (f *Fold) Apply(at logstream.Position, kind logstream.Kind, body cbor.RawMessage) error {
	if kind != KindPublish {
		return &logstream.UnknownKindError{Kind: kind}
	}
	var publish Publish
	if err := logstream.Unmarshal(body, &publish); err != nil {
		return err
	}
	if publish.Base != f.current.Version {
		return &LostRaceError{Base: publish.Base, InForce: f.current.Version}
	}
	f.current = Versioned{
		Version:         at.Offset,
		PublishedMillis: at.Time.UnixMilli(),
		Configuration:   publish.Configuration,
	}
	return nil
}

// WriterWindow implements logstream.Windowed. Every publication has a writer of
// its own, so the writers are forgotten early.
func (f *Fold) WriterWindow() infra.Offset { return writerWindow }

// Encode implements logstream.Fold.
func (f *Fold) Encode() ([]byte, error) {
	return logstream.Marshal(f.current)
}

// Decode implements logstream.Fold.
func (f *Fold) Decode(data []byte) error {
	var current Versioned
	if err := logstream.Unmarshal(data, &current); err != nil {
		return err
	}
	f.current = current
	return nil
}
