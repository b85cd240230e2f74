package fleet

// VMID is the ID of an endpoint VM. It is unique in the fleet and does not change
// when the VM reboots.
type VMID string
