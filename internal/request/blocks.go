package request

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	// blockBytes is the length of one block of the prompt, in bytes.
	blockBytes = 512
	// maxBlocks is the maximum number of hashed blocks per prompt.
	maxBlocks = 32
	// blockMask limits a hash to 53 bits, since JSON parsers that use float64 cannot
	// represent larger integers exactly.
	blockMask = 1<<53 - 1
)

// Prompt is the part of a caller's body that an engine's prefix cache covers: the
// text of a completion or the messages of a chat, as unparsed JSON.
type Prompt struct {
	Text     json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// Blocks returns a hash for each complete block of the prompt. Each hash covers the
// prompt from its start to the end of the block, so that equal hashes mean equal
// prefixes.
func (p Prompt) Blocks(model fleet.ModelName, adapter string) []uint64 {
	text := p.Text
	if len(text) == 0 {
		text = p.Messages
	}
	count := min(len(text)/blockBytes, maxBlocks)
	if count == 0 {
		return nil
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(string(model))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(adapter)
	_, _ = digest.Write([]byte{0})
	blocks := make([]uint64, count)
	for i := range blocks {
		_, _ = digest.Write(text[i*blockBytes : (i+1)*blockBytes])
		blocks[i] = digest.Sum64() & blockMask
	}
	return blocks
}

// Blocks returns the block hashes of the prompt in a caller's body, nil if the body
// is not valid JSON.
func Blocks(model fleet.ModelName, adapter string, body []byte) []uint64 {
	var prompt Prompt
	if json.Unmarshal(body, &prompt) != nil {
		return nil
	}
	return prompt.Blocks(model, adapter)
}
