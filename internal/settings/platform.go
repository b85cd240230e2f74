package settings

// Platform holds the base URLs of the platform's log service and VM list.
type Platform struct {
	Log string `yaml:"log"`
	VMs string `yaml:"vms"`
}
