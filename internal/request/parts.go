package request

import (
	"bytes"
	"encoding/json"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// maxParts is the maximum number of hashed parts per prompt: they are kept as long as the request, and a body has room
// for hundreds of thousands of messages.
const maxParts = 4096

// PartHashes returns a hash for each message of a chat but the last, which belongs to the request, of the first
// maxParts. Unlike a block hash, it does not depend on what stands before the message. A completion has no
// parts that can be told apart.
func (p Prompt) PartHashes(model fleet.ModelName, adapter string) []uint64 {
	messages := json.NewDecoder(bytes.NewReader(p.Messages)) // one at a time
	if begin, err := messages.Token(); err != nil || begin != json.Delim('[') {
		return nil
	}
	var hashes []uint64
	for messages.More() {
		var message json.RawMessage
		if messages.Decode(&message) != nil {
			return nil
		}
		if hashes = append(hashes, Fingerprint(model, adapter, message)); len(hashes) > maxParts {
			break
		}
	}
	if len(hashes) < 2 {
		return nil
	}
	return hashes[:len(hashes)-1]
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
