package suspect

import "strconv"

// maxParts is the number of prompt parts of a request that are looked at.
const maxParts = 32

// Trait is what requests have in common and what may make them crash groups: the whole request,
// or a part of the prompt.
type Trait struct {
	Part bool // a part of the prompt; false: the whole request
	Hash uint64
}

// String returns the trait as logs and the choice of its owner use it.
func (t Trait) String() string {
	if t.Part {
		return "part/" + strconv.FormatUint(t.Hash, 16)
	}
	return "request/" + strconv.FormatUint(t.Hash, 16)
}
