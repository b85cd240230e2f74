package fleet

// ModelName is the name of a served model.
type ModelName string
