package fleet

// Group is one replica: the VMs that together run one copy of a model. The first
// member is the leader and receives all requests.
type Group struct {
	Fencing      FencingNumber `json:"fencing"`
	Model        ModelName     `json:"model"`
	Version      string        `json:"version"`
	Adapters     []string      `json:"adapters"`
	DataCentre   DataCentre    `json:"data_centre"`
	FabricDomain FabricDomain  `json:"fabric_domain"`
	Members      []VMID        `json:"members"`
}

// Leader returns the member that receives the requests of the group. It panics if
// the group has no members.
func (g Group) Leader() VMID {
	return g.Members[0]
}

// Has reports whether vm is a member of the group.
func (g Group) Has(vm VMID) bool {
	for _, member := range g.Members {
		if member == vm {
			return true
		}
	}
	return false
}
