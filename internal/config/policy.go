package config

// Policy holds the cost weights and limits that the placement of groups trades
// off against each other.
type Policy struct {
	DowntimeWeight float64 `yaml:"downtime_weight" json:"downtime_weight"`             // cost per second of downtime of a group
	StrandedWeight float64 `yaml:"stranded_weight" json:"stranded_weight"`             // cost per second of a stranded accelerator
	LoadingVMs     int     `yaml:"loading_vms,omitempty" json:"loading_vms,omitempty"` // maximum VMs per data centre that load weights concurrently, set to match the throughput of the weight store; 0 means no limit
}
