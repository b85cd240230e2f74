package formation

// Preload is a model that a spare endpoint was ordered to load.
type Preload struct {
	Born  int64 // start time of the incarnation that received the order, Unix milliseconds
	Model string
}
