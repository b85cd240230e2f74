package endpoint

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}
