package suspect

import "time"

// Message is sent between daemons to share suspects. Exactly one field is set.
type Message struct {
	Crash     *Crash     `json:"crash,omitempty"`
	Claim     *Claim     `json:"claim,omitempty"`
	Acquittal *Acquittal `json:"acquittal,omitempty"`
}

// Acquittal reports that a request was answered. Its fingerprint is set if it ran alone on its
// group.
type Acquittal struct {
	Subject
	At time.Time `json:"at"`
}
