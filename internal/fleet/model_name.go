package fleet

// ModelName names a served model.
type ModelName string
