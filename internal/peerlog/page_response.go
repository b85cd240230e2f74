package peerlog

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// pageResponse is the response to a read: a page, or the expiry of the requested
// records.
type pageResponse struct {
	Records []record `cbor:"1,keyasint"`
	End     uint64   `cbor:"2,keyasint"`
	More    bool     `cbor:"3,keyasint"`
	Expired bool     `cbor:"4,keyasint"` // the requested records were deleted
	First   uint64   `cbor:"5,keyasint"` // if Expired, the oldest retained offset
	AgeMS   int64    `cbor:"6,keyasint"` // milliseconds since the store itself was read
	Era     uint64   `cbor:"7,keyasint,omitempty"`
	Next    uint64   `cbor:"8,keyasint,omitempty"`
}

type record struct {
	Key    string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint"`
	Offset uint64 `cbor:"3,keyasint"`
}

func newPageResponse(page keyed.Page) pageResponse {
	response := pageResponse{End: page.End, Era: page.Era, Next: page.Next, More: page.More, AgeMS: page.Age.Milliseconds()}
	for _, r := range page.Records {
		response.Records = append(response.Records, record(r))
	}
	return response
}

func (r *pageResponse) page() keyed.Page {
	page := keyed.Page{End: r.End, Era: r.Era, Next: r.Next, More: r.More, Age: time.Duration(r.AgeMS) * time.Millisecond}
	for _, entry := range r.Records {
		page.Records = append(page.Records, keyed.Record(entry))
	}
	return page
}
