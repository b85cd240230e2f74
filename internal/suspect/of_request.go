package suspect

import "github.com/plantainmux/plantainmux/internal/request"

// Of returns the subject of a request.
func Of(req *request.Request) Subject {
	return Subject{Fingerprint: req.Fingerprint, Parts: req.PartHashes}
}
