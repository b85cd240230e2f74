package fleet

// BootID identifies one boot of an endpoint's engine process. It changes with
// each restart, even when address and VMID stay.
type BootID string
