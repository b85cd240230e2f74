package infra

// Page is the result of a read of a stream.
type Page struct {
	Oldest  Offset   `json:"oldest"` // oldest retained offset
	Next    Offset   `json:"next"`   // offset that the next append will get
	Records []Record `json:"records"`
}
