package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

func (v *validator) services() {
	names := map[string]string{}
	for i := range v.whole.Services {
		path := fmt.Sprintf("services[%d]", i)
		service := &v.whole.Services[i]
		v.name(path+".name", service.Name)
		v.unique(names, path+".name", service.Name)
		v.number(path+".key_lifetime_seconds", "services[].key_lifetime_seconds", float64(service.KeyLifetime))
		v.endpoints(path, service)
		v.calls(path, service)
	}
}

func (v *validator) endpoints(path string, service *Service) {
	if len(service.Endpoints) == 0 {
		v.refuse(path+".endpoints", strictyaml.Missing, "want at least one endpoint")
	}
	seen := map[string]string{}
	for i, endpoint := range service.Endpoints {
		below := fmt.Sprintf("%s.endpoints[%d]", path, i)
		v.address(below+".address", endpoint.Address)
		v.unique(seen, below+".address", endpoint.Address)
		v.dataCentre(below+".data_centre", endpoint.DataCentre)
	}
}

func (v *validator) calls(path string, service *Service) {
	if len(service.Calls) == 0 {
		v.refuse(path+".calls", strictyaml.Missing, "want at least one call")
	}
	seen := map[string]string{}
	for i, call := range service.Calls {
		below := fmt.Sprintf("%s.calls[%d]", path, i)
		if !slices.Contains(methods, call.Method) {
			v.refuse(below+".method", strictyaml.Malformed, fmt.Sprintf("want one of %s, not %q", strings.Join(methods, ", "), call.Method))
		}
		v.match(below+".path", call.Path, pathPattern, boundPath)
		v.unique(seen, below, call.Method+" "+call.Path)
		v.number(below+".timeout_seconds", "services[].calls[].timeout_seconds", float64(call.TimeoutSeconds))
		v.keyLifetime(below, service, call)
	}
}

// keyLifetime checks that a key is remembered for as long as its order may run.
func (v *validator) keyLifetime(path string, service *Service, call Call) {
	if call.Idempotent || service.KeyLifetime >= call.TimeoutSeconds {
		return
	}
	detail := fmt.Sprintf("a call that is not idempotent needs key_lifetime_seconds of at least %d, not %d", call.TimeoutSeconds, service.KeyLifetime)
	v.refuse(path+".timeout_seconds", strictyaml.Contradiction, detail)
}
