package fleet

// BootID identifies one start of an endpoint's engine process. It changes with
// each restart, even if the address and the VMID do not.
type BootID string
