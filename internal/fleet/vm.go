package fleet

// VM is an endpoint VM in the platform's VM list.
type VM struct {
	ID           VMID         `json:"id"`
	Address      string       `json:"address"` // IP address and port of the engine
	DataCentre   DataCentre   `json:"data_centre"`
	FabricDomain FabricDomain `json:"fabric_domain"`
	Accelerators int          `json:"accelerators"`
	Leaving      bool         `json:"leaving"`
}
