package infra

// Record is one record of a stream.
type Record struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}
