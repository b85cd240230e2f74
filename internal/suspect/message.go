package suspect

import "time"

// Message is what daemons tell each other of suspects. One field is set.
type Message struct {
	Crash     *Crash     `json:"crash,omitempty"`
	Claim     *Claim     `json:"claim,omitempty"`
	Acquittal *Acquittal `json:"acquittal,omitempty"`
}

// Acquittal says that a suspect ran alone to its end.
type Acquittal struct {
	Fingerprint uint64    `json:"fingerprint"`
	At          time.Time `json:"at"`
}
