package config

import "github.com/plantainmux/plantainmux/internal/fleet"

// Team declares a team, its API keys and its share of capacity.
type Team struct {
	Name      fleet.TeamName `yaml:"name" json:"name"`
	KeyHashes []string       `yaml:"key_hashes" json:"key_hashes"` // hex SHA-256 of each key
	Share     int            `yaml:"share" json:"share"`           // weight of the team's guaranteed capacity
	Priority  int            `yaml:"priority,omitempty" json:"priority"`
}
