package settings

import "github.com/plantainmux/plantainmux/internal/strictyaml"

// Load reads and checks the settings of a daemon from a file. On a failure
// nothing of the file is used.
func Load(path string) (Settings, error) {
	var s Settings
	document, err := strictyaml.ReadFile(path, &s)
	if err != nil {
		return Settings{}, err
	}
	s = s.WithDefaults()
	if err := Validate(s, document).Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}
