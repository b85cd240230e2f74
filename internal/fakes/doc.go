// Package fakes implements fakes of everything outside the system: the log
// service, the list of VMs, the weight store, model engines and plain services.
// Each serves the real protocol over HTTP, records its requests, and supports
// fault injection through the same Faults.
package fakes
