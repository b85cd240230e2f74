package fleet

// VM is one endpoint VM as the platform lists it.
type VM struct {
	ID           VMID         `json:"id"`
	Address      string       `json:"address"` // IP number and port of the engine
	DataCentre   DataCentre   `json:"data_centre"`
	FabricDomain FabricDomain `json:"fabric_domain"`
	Accelerators int          `json:"accelerators"`
	Leaving      bool         `json:"leaving"`
}
