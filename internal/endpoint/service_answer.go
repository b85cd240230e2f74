package endpoint

// ServiceAnswer is the complete response of a plain service.
type ServiceAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}
