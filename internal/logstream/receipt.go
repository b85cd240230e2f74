package logstream

import "github.com/plantainmux/plantainmux/internal/infra"

// Receipt is the verdict on a proposal, as read back from the stream.
type Receipt struct {
	Offset infra.Offset
	Void   error // why the fold did not accept the record; nil when it did
}
