package config

// Configuration is all that operators declare. One record of the configuration
// stream holds one whole Configuration.
type Configuration struct {
	Models   []Model   `yaml:"models" json:"models"`
	Teams    []Team    `yaml:"teams" json:"teams"`
	Services []Service `yaml:"services" json:"services"`
	Policy   Policy    `yaml:"policy" json:"policy"`
}
