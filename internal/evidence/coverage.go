package evidence

import "github.com/plantainmux/plantainmux/internal/infra"

// Coverage is the part of a stream that a report is based on.
type Coverage struct {
	Stream  string       `json:"stream"`
	Oldest  infra.Offset `json:"oldest"`
	Next    infra.Offset `json:"next"`
	Records int          `json:"records"`
	Unread  int          `json:"unread"` // records that could not be decoded
}

func coverageOf(h History) Coverage {
	return Coverage{Stream: h.Stream, Oldest: h.Oldest, Next: h.Next, Records: len(h.Items), Unread: h.Unread}
}
