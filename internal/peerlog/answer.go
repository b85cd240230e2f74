package peerlog

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// answer is what the other daemon read.
type answer struct {
	Records []record `cbor:"1,keyasint"`
	End     uint64   `cbor:"2,keyasint"`
	More    bool     `cbor:"3,keyasint"`
	Expired bool     `cbor:"4,keyasint"` // the records asked for were deleted
	First   uint64   `cbor:"5,keyasint"` // if so, the oldest that is retained
	AgeMS   int64    `cbor:"6,keyasint"` // since the store itself was asked
}

type record struct {
	Key    string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint"`
	Offset uint64 `cbor:"3,keyasint"`
}

func newAnswer(page keyed.Page) answer {
	a := answer{End: page.End, More: page.More, AgeMS: page.Age.Milliseconds()}
	for _, r := range page.Records {
		a.Records = append(a.Records, record(r))
	}
	return a
}

func (a *answer) page() keyed.Page {
	page := keyed.Page{End: a.End, More: a.More, Age: time.Duration(a.AgeMS) * time.Millisecond}
	for _, r := range a.Records {
		page.Records = append(page.Records, keyed.Record(r))
	}
	return page
}
