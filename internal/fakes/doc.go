// Package fakes holds small stand-ins for everything outside the system: the
// log service, the list of VMs, the weight store, model engines and plain
// services. Each speaks its real protocol over HTTP, records what was asked of
// it, and has the same fault switches.
package fakes
