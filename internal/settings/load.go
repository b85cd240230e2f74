package settings

import "github.com/plantainmux/plantainmux/internal/strictyaml"

// Load reads the settings of a daemon from a file, applies the defaults and
// validates the result. If the file is invalid, it returns strictyaml.Problems
// and zero settings.
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
