package suspect

// Subject is what identifies a request among crashes: the request as a whole, and the parts of its
// prompt that other requests may share.
type Subject struct {
	Fingerprint uint64   `json:"fingerprint"`     // hash of the whole request; 0 if only its parts matter
	Parts       []uint64 `json:"parts,omitempty"` // IDs or hashes of the shared parts of the prompt
}

// Traits returns the traits of a request, without the parts beyond maxParts.
func (s Subject) Traits() []Trait {
	traits := make([]Trait, 0, 1+min(len(s.Parts), maxParts))
	if s.Fingerprint != 0 {
		traits = append(traits, Trait{Hash: s.Fingerprint})
	}
	for _, part := range s.Parts[:min(len(s.Parts), maxParts)] {
		traits = append(traits, Trait{Part: true, Hash: part})
	}
	return traits
}
