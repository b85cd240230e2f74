package config

// Call declares one call, a method and a path, of a plain service.
type Call struct {
	Method              string  `yaml:"method" json:"method"`
	Path                string  `yaml:"path" json:"path"` // exact path, relative to the service
	Idempotent          bool    `yaml:"idempotent" json:"idempotent"`
	RefusesRepeatedKeys bool    `yaml:"refuses_repeated_keys,omitempty" json:"refuses_repeated_keys"`
	TimeoutSeconds      Seconds `yaml:"timeout_seconds" json:"timeout_seconds"`
}
