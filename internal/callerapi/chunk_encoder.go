package callerapi

import (
	"bytes"

	"github.com/segmentio/encoding/json"
)

// textPlaceholder is the text of the chunk that serves as the template of an encoder.
const textPlaceholder = "plantainmux-text"

// chunkEncoder encodes the chunks of one answer. The JSON that is the same in each
// chunk is encoded once, as a template.
type chunkEncoder struct {
	format        answerFormat
	head          answerHead
	before, after []byte // JSON before and after the text
	started       bool   // the first chunk has been encoded
}

func newChunkEncoder(format answerFormat, head answerHead) (*chunkEncoder, error) {
	template, err := json.Marshal(format.chunk(head, textPlaceholder, "", false))
	if err != nil {
		return nil, err
	}
	at := bytes.LastIndex(template, []byte(`"`+textPlaceholder+`"`))
	return &chunkEncoder{
		format: format,
		head:   head,
		before: template[:at],
		after:  template[at+len(textPlaceholder)+2:],
	}, nil
}

// encode appends a chunk to out. The first chunk and those with a finish reason differ
// from the template and are encoded in full.
func (e *chunkEncoder) encode(out *bytes.Buffer, text, finishReason string) error {
	first := !e.started
	e.started = true
	if first || finishReason != "" {
		return encodeJSON(out, e.format.chunk(e.head, text, finishReason, first))
	}
	out.Write(e.before)
	if err := encodeJSON(out, text); err != nil {
		return err
	}
	out.Write(e.after)
	return nil
}

// restart makes the next chunk be encoded as the first one.
func (e *chunkEncoder) restart() { e.started = false }

// encodeUsage appends the token usage that follows the last chunk to out.
func (e *chunkEncoder) encodeUsage(out *bytes.Buffer, usage usage) error {
	return encodeJSON(out, e.format.usageChunk(e.head, usage))
}

func encodeJSON(out *bytes.Buffer, value any) error {
	data, err := json.Append(out.AvailableBuffer(), value, json.EscapeHTML|json.SortMapKeys)
	if err != nil {
		return err
	}
	out.Write(data)
	return nil
}
