package fleet

// VMID names one endpoint VM. It is unique in the fleet and survives a reboot
// of the VM.
type VMID string
