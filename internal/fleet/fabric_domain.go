package fleet

// FabricDomain names a set of VMs of one data centre that share a fast fabric.
// All members of a group belong to one fabric domain.
type FabricDomain string
