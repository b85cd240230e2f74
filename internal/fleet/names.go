package fleet

// VMID names one endpoint VM. It is unique in the fleet and survives a reboot
// of the VM.
type VMID string

// DataCentre names one data centre, as the settings of a daemon give it.
type DataCentre string

// FabricDomain names a set of VMs of one data centre that share a fast fabric.
// All members of a group belong to one fabric domain.
type FabricDomain string

// BootID identifies one boot of an endpoint's engine process. It changes with
// each restart, even when address and VMID stay.
type BootID string

// DaemonID names one running daemon. It is new at each start of a daemon.
type DaemonID string

// TeamName names a team, the tenant whose callers share a capacity.
type TeamName string

// ModelName names a served model.
type ModelName string
