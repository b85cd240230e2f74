package gateway

// dispatchModel names a model of a service.
type dispatchModel struct{ service, model string }
