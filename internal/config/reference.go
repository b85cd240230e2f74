package config

import (
	"math"
	"strconv"

	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

// Bounds of text fields.
const (
	boundName    = "1 to 127 letters, digits, dots, dashes, underscores or slashes"
	boundHash    = "64 lower-case hexadecimal digits"
	boundAddress = "IP number and port"
	boundPath    = "a path from / without a query"
)

const daySeconds = 24 * 3600

// numericField is the unit, the bounds and the documentation of a numeric field.
type numericField struct {
	unit         string
	min, max     float64
	defaultValue string // empty if the field is required
	doc          string
}

// String returns the bounds as text for messages.
func (n numericField) String() string {
	text := formatNumber(n.min) + " to " + formatNumber(n.max)
	if n.max == math.MaxFloat64 {
		text = formatNumber(n.min) + " or more"
	}
	if n.unit == "" {
		return text
	}
	return text + " " + n.unit
}

// formatNumber formats a number without an exponent.
func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}

// numericFields holds the numeric fields by path.
var numericFields = map[string]numericField{
	"models[].members":                   {"VMs", 1, 64, "", "VMs of one replica"},
	"models[].requests":                  {"requests", 1, 100000, "", "concurrent requests of one group"},
	"models[].value":                     {"", 0, math.MaxFloat64, "1", "weight of a group's downtime"},
	"models[].load_seconds":              {"s", 0, daySeconds, "0", "usual time to load the weights"},
	"models[].replicas[].count":          {"groups", 0, 10000, "0", "groups wanted in the data centre"},
	"teams[].share":                      {"", 1, 1000000, "", "weight of the team's guaranteed capacity"},
	"teams[].priority":                   {"", 0, 100, "0", "priority of the team's requests, passed to the engines"},
	"services[].key_lifetime_seconds":    {"s", 0, 366 * daySeconds, "0", "how long idempotency keys are kept"},
	"services[].calls[].timeout_seconds": {"s", 1, daySeconds, "", "longest time of a call"},
	"policy.downtime_weight":             {"", 0, math.MaxFloat64, "0", "cost of a second of a group's downtime"},
	"policy.loading_vms":                 {"VMs", 0, 100000, "0", "VMs of a data centre that may load weights at the same time; 0 means no bound"},
	"policy.stranded_weight":             {"", 0, math.MaxFloat64, "0", "cost of a second of a stranded accelerator"},
}

// otherFields holds the documentation of all other fields by path.
var otherFields = map[string]strictyaml.Field{
	"data_centres[]":                           {Bounds: boundName + ", not repeated", Doc: "data centres that the files may name; without the list any name goes"},
	"models[].name":                            {Bounds: boundName + ", not repeated", Doc: "name of the model"},
	"models[].version":                         {Bounds: boundName, Doc: "version of the weights"},
	"models[].adapters[]":                      {Bounds: boundName + ", not repeated", Doc: "adapter that each group loads"},
	"models[].replicas[].data_centre":          {Bounds: boundName + ", not repeated", Doc: "data centre of the groups"},
	"models[].checks_fencing":                  {Default: "false", Bounds: "true or false", Doc: "its engines refuse old fencing numbers"},
	"models[].deterministic":                   {Default: "false", Bounds: "true or false", Doc: "equal requests get equal answers, token by token"},
	"teams[].name":                             {Bounds: boundName + ", not repeated", Doc: "name of the team"},
	"teams[].key_hashes[]":                     {Bounds: boundHash + ", of one team only", Doc: "SHA-256 of a key, as hash-key prints it"},
	"services[].name":                          {Bounds: boundName + ", not repeated", Doc: "name of the plain service"},
	"services[].endpoints[].address":           {Bounds: boundAddress + ", not repeated", Doc: "endpoint of the service"},
	"services[].endpoints[].data_centre":       {Bounds: boundName, Doc: "data centre of the endpoint"},
	"services[].calls[].method":                {Bounds: "GET, HEAD, POST, PUT, PATCH or DELETE", Doc: "method of the call"},
	"services[].calls[].path":                  {Bounds: boundPath + ", not repeated with its method", Doc: "path below the service"},
	"services[].calls[].idempotent":            {Default: "false", Bounds: "true or false", Doc: "the call may be repeated"},
	"services[].calls[].refuses_repeated_keys": {Default: "false", Bounds: "true or false", Doc: "the service itself refuses a key that it has run"},
}

// Reference returns the documentation of every field, in the order of the file. A
// field that is not documented has an empty Doc.
func Reference() []strictyaml.Field {
	var fields []strictyaml.Field
	for _, path := range strictyaml.Paths(Configuration{}) {
		field := otherFields[path]
		if n, ok := numericFields[path]; ok {
			field = strictyaml.Field{Unit: n.unit, Default: n.defaultValue, Bounds: n.String(), Doc: n.doc}
		}
		field.Path = path
		fields = append(fields, field)
	}
	return fields
}
