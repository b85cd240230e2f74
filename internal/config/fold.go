package config

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// StreamName is the name of the log stream that holds the configurations.
const StreamName = "config"

// KindPublish is the kind of a record that puts a configuration in force.
const KindPublish logstream.Kind = "publish"

// writerWindow is the number of records after which the state kept for a writer
// is dropped.
const writerWindow infra.Offset = 1024

// Publish is the body of a KindPublish record.
type Publish struct {
	Base          infra.Offset  `json:"base"` // version that the configuration was derived from
	Configuration Configuration `json:"configuration"`
}

// Fold is the replicated state of the configuration stream: the configuration in
// force.
type Fold struct {
	current Versioned
}

// NewFold returns a fold that has no configuration yet.
func NewFold() *Fold {
	return &Fold{}
}

// Current returns the configuration in force.
func (f *Fold) Current() Versioned {
	return f.current
}

// Apply implements logstream.Fold. A publication is accepted only if its base is
// the version in force at its offset, so only one of two concurrent publications
// with the same base succeeds.
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

// WriterWindow implements logstream.Windowed. The window is short because each
// publication uses a new writer ID, so writers do not come back.
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
