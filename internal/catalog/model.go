package catalog

import "time"

// Model is a model whose replicas span several VMs.
type Model struct {
	Name  string
	Size  int           // number of VMs in a group
	Share float64       // fraction of the service's work
	Pace  float64       // multiplier on the duration of each step; 0 means 1
	Load  time.Duration // duration of a load from the shared weight store
	Warm  time.Duration // duration of a load from the VM's own host
}
