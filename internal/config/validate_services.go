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
	for i := range v.configuration.Services {
		path := fmt.Sprintf("services[%d]", i)
		service := &v.configuration.Services[i]
		v.name(path+".name", service.Name)
		v.unique(names, path+".name", service.Name)
		v.number(path+".key_lifetime_seconds", "services[].key_lifetime_seconds", float64(service.KeyLifetime))
		v.endpoints(path, service)
		v.calls(path, service)
	}
}

func (v *validator) endpoints(path string, service *Service) {
	if len(service.Endpoints) == 0 {
		v.reject(path+".endpoints", strictyaml.Missing, "want at least one endpoint")
	}
	seen := map[string]string{}
	for i, endpoint := range service.Endpoints {
		itemPath := fmt.Sprintf("%s.endpoints[%d]", path, i)
		v.address(itemPath+".address", endpoint.Address)
		v.unique(seen, itemPath+".address", endpoint.Address)
		v.dataCentre(itemPath+".data_centre", endpoint.DataCentre)
	}
}

func (v *validator) calls(path string, service *Service) {
	if len(service.Calls) == 0 {
		v.reject(path+".calls", strictyaml.Missing, "want at least one call")
	}
	seen := map[string]string{}
	for i, call := range service.Calls {
		itemPath := fmt.Sprintf("%s.calls[%d]", path, i)
		if !slices.Contains(methods, call.Method) {
			v.reject(itemPath+".method", strictyaml.Malformed, fmt.Sprintf("want one of %s, not %q", strings.Join(methods, ", "), call.Method))
		}
		v.match(itemPath+".path", call.Path, pathPattern, boundPath)
		v.unique(seen, itemPath, call.Method+" "+call.Path)
		v.number(itemPath+".timeout_seconds", "services[].calls[].timeout_seconds", float64(call.TimeoutSeconds))
		v.keyLifetime(itemPath, service, call)
	}
}

// keyLifetime checks that idempotency keys are retained for at least the
// timeout of the call, so that a repeated request is recognised while the first
// one runs.
func (v *validator) keyLifetime(path string, service *Service, call Call) {
	if call.Idempotent || service.KeyLifetime >= call.TimeoutSeconds {
		return
	}
	detail := fmt.Sprintf("a call that is not idempotent needs key_lifetime_seconds of at least %d, not %d", call.TimeoutSeconds, service.KeyLifetime)
	v.reject(path+".timeout_seconds", strictyaml.Contradiction, detail)
}
