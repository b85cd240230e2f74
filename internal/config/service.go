package config

// Service declares a plain service: one with its own endpoints that serves no
// model.
type Service struct {
	Name        string            `yaml:"name" json:"name"`
	Endpoints   []ServiceEndpoint `yaml:"endpoints" json:"endpoints"`
	Calls       []Call            `yaml:"calls" json:"calls"`
	KeyLifetime Seconds           `yaml:"key_lifetime_seconds" json:"key_lifetime_seconds"` // retention of idempotency keys
}
