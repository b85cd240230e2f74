package formation

// Promise is a model that a spare endpoint was told to load.
type Promise struct {
	Born  int64 // the life that was told, Unix milliseconds
	Model string
}
