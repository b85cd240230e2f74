// Package infra is the only place that knows the wire formats of the
// platform: the append-only log service and the list of VMs. Another
// deployment's formats are a change of this package alone.
package infra
