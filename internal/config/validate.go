package config

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,126}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern = regexp.MustCompile(`^/[A-Za-z0-9._~/-]*$`)
)

// validator collects the problems of a configuration.
type validator struct {
	configuration Configuration
	sources       *origins
	problems      strictyaml.Problems
}

// Validate checks a configuration that was not read from files. Problems carry
// name in place of a file name.
func Validate(name string, configuration Configuration) strictyaml.Problems {
	return validate(configuration, &origins{first: strictyaml.NewDocument(name)})
}

func validate(configuration Configuration, sources *origins) strictyaml.Problems {
	v := &validator{configuration: configuration, sources: sources}
	v.dataCentres()
	v.models()
	v.teams()
	v.services()
	v.policy()
	return v.problems
}

func (v *validator) reject(path string, reason strictyaml.Reason, detail string) {
	v.problems = append(v.problems, v.sources.problem(path, reason, detail))
}

func (v *validator) name(path, value string) {
	v.match(path, value, namePattern, boundName)
}

func (v *validator) match(path, value string, pattern *regexp.Regexp, bound string) {
	switch {
	case value == "":
		v.reject(path, strictyaml.Missing, "want "+bound)
	case !pattern.MatchString(value):
		v.reject(path, strictyaml.Malformed, fmt.Sprintf("want %s, not %q", bound, value))
	}
}

func (v *validator) number(path, field string, value float64) {
	bounds := numericFields[field]
	if value >= bounds.min && value <= bounds.max {
		return
	}
	v.reject(path, strictyaml.OutOfBounds, fmt.Sprintf("want %s, not %s", bounds, formatNumber(value)))
}

// unique rejects a value that is in seen already, and adds it otherwise. seen
// maps each value to the path of the first field that has it.
func (v *validator) unique(seen map[string]string, path, value string) {
	if value == "" {
		return
	}
	if first, repeated := seen[value]; repeated {
		v.reject(path, strictyaml.Duplicate, fmt.Sprintf("%q is also at %s", value, v.sources.place(first)))
		return
	}
	seen[value] = path
}

func (v *validator) dataCentres() {
	seen := map[string]string{}
	for i, dataCentre := range v.configuration.DataCentres {
		path := fmt.Sprintf("data_centres[%d]", i)
		v.name(path, string(dataCentre))
		v.unique(seen, path, string(dataCentre))
	}
}

// dataCentre checks a reference to a data centre. Any valid name is accepted if
// the configuration lists no data centres.
func (v *validator) dataCentre(path string, name fleet.DataCentre) {
	v.name(path, string(name))
	if len(v.configuration.DataCentres) == 0 || name == "" {
		return
	}
	for _, known := range v.configuration.DataCentres {
		if known == name {
			return
		}
	}
	v.reject(path, strictyaml.MissingReference, fmt.Sprintf("data_centres has no %q", name))
}

func (v *validator) address(path, value string) {
	address, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
		v.reject(path, strictyaml.Missing, "want "+boundAddress)
	case err != nil || address.Port() == 0:
		v.reject(path, strictyaml.Malformed, fmt.Sprintf("want %s, not %q", boundAddress, value))
	}
}

func (v *validator) policy() {
	v.number("policy.downtime_weight", "policy.downtime_weight", v.configuration.Policy.DowntimeWeight)
	v.number("policy.stranded_weight", "policy.stranded_weight", v.configuration.Policy.StrandedWeight)
	v.number("policy.loading_vms", "policy.loading_vms", float64(v.configuration.Policy.LoadingVMs))
	if v.configuration.Policy.DowntimeWeight == 0 && v.configuration.Policy.StrandedWeight == 0 {
		v.reject("policy", strictyaml.Missing, "want a positive downtime_weight or stranded_weight")
	}
}
