package settings

import "github.com/plantainmux/plantainmux/internal/strictyaml"

// Load reads the settings of a daemon from a file.
func Load(path string) (Settings, error) {
	var s Settings
	if err := strictyaml.ReadFile(path, &s); err != nil {
		return Settings{}, err
	}
	return s.WithDefaults(), nil
}
