package config

// Policy weighs what cannot all be had at once.
type Policy struct {
	DowntimeWeight float64 `yaml:"downtime_weight" json:"downtime_weight"`             // cost of a group second of downtime
	StrandedWeight float64 `yaml:"stranded_weight" json:"stranded_weight"`             // cost of an accelerator second stranded
	LoadingVMs     int     `yaml:"loading_vms,omitempty" json:"loading_vms,omitempty"` // VMs of a data centre that load weights at once, as the weight store's rate allows; 0 is no bound
}
