package gateway

import (
	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

// Settings are the settings of one daemon on a platform.
type Settings struct {
	Node       string `yaml:"node"`
	DataCentre string `yaml:"data_centre"`
	// Regions maps each data centre to its region. A data centre that is missing is in no region:
	// requests that are restricted to regions are not sent there.
	Regions locality.Regions `yaml:"zones"`
	Listen  Listen           `yaml:"listen"`
	Store   string           `yaml:"store"` // address of the platform's store
	First   bool             `yaml:"first"` // first start of the whole fleet
	Limits  Limits           `yaml:"limits"`
	Bounds  Bounds           `yaml:"bounds"`
}

// Load reads a settings file. If values are invalid, it fails with a list of
// problems that names each field.
func Load(path string) (Settings, error) {
	var s Settings
	document, err := strictyaml.ReadFile(path, &s)
	if err != nil {
		return Settings{}, err
	}
	if problems := s.check(document); len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

func (s *Settings) check(document *strictyaml.Document) strictyaml.Problems {
	var problems strictyaml.Problems
	require := func(ok bool, field string) {
		if !ok {
			problems = append(problems, document.Problem(field, strictyaml.Missing, "a value is needed"))
		}
	}
	require(s.Node != "", "node")
	require(s.DataCentre != "", "data_centre")
	require(s.Store != "", "store")
	require(s.Listen.Callers != "", "listen.callers")
	require(s.Listen.Readiness != "", "listen.readiness")
	require(s.Listen.Host != "", "listen.host")
	require(s.Listen.FirstPort > 0, "listen.first_port")
	require(s.Bounds.GraceS > 0, "bounds.grace_s")
	require(s.Bounds.RetryWindowS > 0, "bounds.retry_window_s")
	return problems
}
