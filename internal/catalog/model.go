package catalog

import "time"

// Model is a model whose replicas span several VMs.
type Model struct {
	Name  string
	Size  int           // VMs of a group
	Share float64       // of the service's work
	Pace  float64       // factor on the time of each step
	Load  time.Duration // from the shared store of weights
	Warm  time.Duration // from the VM's own host
}
