package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

// numericField is the unit, the bounds and the documentation of a numeric field.
type numericField struct {
	unit string
	min  int64
	max  int64
	doc  string
}

const (
	secondMS = 1000
	hourMS   = 3600 * secondMS
)

// numericFields holds the numeric fields by path.
var numericFields = map[string]numericField{
	"limits.body_bytes":        {"bytes", 1 << 10, 1 << 30, "largest body of a caller's request"},
	"limits.head_bytes":        {"bytes", 1 << 10, 1 << 24, "largest head of a caller's request"},
	"limits.memory_mb":         {"MB", 0, 1 << 24, "memory that the process may use; 0: that of the machine"},
	"limits.queue_length":      {"requests", 1, 1 << 20, "requests that wait for capacity"},
	"limits.queue_wait_ms":     {"ms", 1, hourMS, "longest wait for capacity"},
	"limits.workers":           {"tasks", 1, 1 << 12, "concurrent control tasks"},
	"timing.poll_ms":           {"ms", 10, 60 * secondMS, "time between two reports of a member"},
	"timing.report_bound_ms":   {"ms", 20, 300 * secondMS, "age at which a report no longer proves a member; above poll_ms"},
	"timing.reconcile_ms":      {"ms", 10, 60 * secondMS, "time between two reconciliations"},
	"timing.vm_list_ms":        {"ms", 50, 300 * secondMS, "time between two reads of the VM list"},
	"timing.drain_notice_ms":   {"ms", 1, 600 * secondMS, "time that the balancer may take to notice a stop"},
	"timing.peer_heartbeat_ms": {"ms", 10, 60 * secondMS, "time between two frames of a link to a peer"},
	"timing.default_wait_ms":   {"ms", 1, 24 * hourMS, "deadline of a request that names none"},
	"timing.snapshot_age_ms":   {"ms", 10, 24 * hourMS, "age of a stream's newest snapshot at which another is written; at most a third of the log's retention"},
}

// otherFields holds the documentation of all other fields by path.
var otherFields = map[string]strictyaml.Field{
	"data_centre":         {Bounds: boundName, Doc: "data centre of the daemon"},
	"listen.caller":       {Bounds: boundAddress, Doc: "address for callers"},
	"listen.peer":         {Bounds: boundAddress, Doc: "address for other daemons"},
	"listen.admin":        {Bounds: boundAddress, Doc: "address for operators, health, readiness and metrics"},
	"platform.log":        {Bounds: boundURL, Doc: "base URL of the log service"},
	"platform.vms":        {Bounds: boundURL, Doc: "base URL of the VM list"},
	"peers[].address":     {Bounds: boundAddress + ", not repeated", Doc: "peer listener of another daemon"},
	"peers[].data_centre": {Bounds: boundName, Doc: "data centre of that daemon"},
	"peer_secret":         {Bounds: boundSecret, Doc: "secret that all daemons share; never logged"},
	"admin_token":         {Bounds: boundSecret + ", other than peer_secret", Doc: "bearer token of operators; never logged"},
	"tls.certificate":     {Bounds: "with tls.key", Doc: "PEM file with the certificate of all listeners"},
	"tls.key":             {Bounds: "with tls.certificate", Doc: "PEM file with its key"},
	"tls.authority":       {Bounds: "with tls.certificate", Doc: "PEM file; peers and operators must hold a certificate of it"},
}

// Bounds of text fields.
const (
	boundName    = "1 to 63 letters, digits, dots, dashes or underscores"
	boundAddress = "IP number and port"
	boundURL     = "http:// or https://, IP number and port"
	boundSecret  = "at least 16 characters"
)

// Reference returns the documentation of every field, in the order of the file. A
// field that is not documented has an empty Doc.
func Reference() []strictyaml.Field {
	var fields []strictyaml.Field
	for _, path := range strictyaml.Paths(Settings{}) {
		field := otherFields[path]
		if n, ok := numericFields[path]; ok {
			field = strictyaml.Field{Unit: n.unit, Bounds: fmt.Sprintf("%d to %d", n.min, n.max), Doc: n.doc}
			field.Default = fmt.Sprint(numberAt(Settings{}.WithDefaults(), path))
		}
		field.Path = path
		fields = append(fields, field)
	}
	return fields
}

// numberAt returns the value of the numeric field at a path.
func numberAt(s Settings, path string) int64 {
	value := reflect.ValueOf(s)
	for name := range strings.SplitSeq(path, ".") {
		value = fieldNamed(value, name)
	}
	return value.Int()
}

// fieldNamed returns the struct field with the given YAML name, or a zero int if
// there is none.
func fieldNamed(value reflect.Value, name string) reflect.Value {
	for i := range value.NumField() {
		tag, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("yaml"), ",")
		if tag == name {
			return value.Field(i)
		}
	}
	return reflect.Zero(reflect.TypeFor[int]())
}
