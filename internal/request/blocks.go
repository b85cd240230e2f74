package request

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	// blockBytes is the length of a block of a prompt's text.
	blockBytes = 512
	// maxBlocks bounds the blocks of one prompt.
	maxBlocks = 32
	// blockMask keeps a hash within the integers that every JSON reader holds.
	blockMask = 1<<53 - 1
)

// Prompt is the part of a caller's body that an engine's prefix cache is about:
// the text of a completion or the messages of a chat, as they came.
type Prompt struct {
	Text     json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// Blocks returns a hash for each whole block of the prompt. Each covers the
// prompt from its beginning, so that equal hashes mean equal beginnings.
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

// Blocks returns the hashes of the prompt of a caller's body.
func Blocks(model fleet.ModelName, adapter string, body []byte) []uint64 {
	var prompt Prompt
	if json.Unmarshal(body, &prompt) != nil {
		return nil
	}
	return prompt.Blocks(model, adapter)
}
