package request

import (
	"encoding/json"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// PartHashes returns a hash for each message of a chat but the last, which belongs to the request.
// Unlike a block hash, it does not depend on what stands before the message. A completion has no
// parts that can be told apart.
func (p Prompt) PartHashes(model fleet.ModelName, adapter string) []uint64 {
	var messages []json.RawMessage
	if len(p.Messages) == 0 || json.Unmarshal(p.Messages, &messages) != nil || len(messages) < 2 {
		return nil
	}
	hashes := make([]uint64, 0, len(messages)-1)
	for _, message := range messages[:len(messages)-1] {
		hashes = append(hashes, Fingerprint(model, adapter, message))
	}
	return hashes
}

// PartHashes returns the part hashes of the prompt in a caller's body, nil if the body is not
// valid JSON.
func PartHashes(model fleet.ModelName, adapter string, body []byte) []uint64 {
	var prompt Prompt
	if json.Unmarshal(body, &prompt) != nil {
		return nil
	}
	return prompt.PartHashes(model, adapter)
}
