package gateway

// coldSource is where this daemon knows from that an endpoint is cold.
type coldSource string

const (
	coldByEntry  coldSource = "entry"
	coldByAnswer coldSource = "answer" // to any call
	coldByStart  coldSource = "start"  // a new incarnation whose entry does not say
	coldByReturn coldSource = "return" // the evacuation of its data centre was withdrawn
)
