package fleet

// FabricDomain is the name of a set of VMs in one data centre that are
// connected by a high-speed interconnect. All members of a group belong to one
// fabric domain.
type FabricDomain string
