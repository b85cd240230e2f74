package settings

// Platform gives the base URLs of the platform's services.
type Platform struct {
	Log string `yaml:"log"`
	VMs string `yaml:"vms"`
}
