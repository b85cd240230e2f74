package logstream

import "github.com/plantainmux/plantainmux/internal/platform"

// coverage is the part of a snapshot that tells what it covers.
type coverage struct {
	AsOf platform.Offset `cbor:"1,keyasint"`
}

// coveredBy returns the offset that a snapshot in a record covers.
func coveredBy(entry Entry, at platform.Offset) (platform.Offset, bool) {
	var found coverage
	if Unmarshal(entry.Body, &found) != nil || found.AsOf >= at {
		return 0, false
	}
	return found.AsOf, true
}
