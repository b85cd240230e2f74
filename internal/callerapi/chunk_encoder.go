package callerapi

import (
	"bytes"
	"encoding/json"
)

// textMark stands for the text of a chunk in the template of an encoder.
const textMark = "plantainmux-text"

// chunkEncoder encodes the chunks of one answer. What is the same in each chunk
// is encoded once.
type chunkEncoder struct {
	form          answerForm
	id, model     string
	before, after []byte // of the text
}

func newChunkEncoder(form answerForm, id, model string) (*chunkEncoder, error) {
	template, err := json.Marshal(form.chunk(id, model, textMark, ""))
	if err != nil {
		return nil, err
	}
	at := bytes.LastIndex(template, []byte(`"`+textMark+`"`))
	return &chunkEncoder{
		form:   form,
		id:     id,
		model:  model,
		before: template[:at],
		after:  template[at+len(textMark)+2:],
	}, nil
}

// encode appends a chunk to out.
func (e *chunkEncoder) encode(out *bytes.Buffer, text, finishReason string) error {
	if finishReason != "" {
		return encodeJSON(out, e.form.chunk(e.id, e.model, text, finishReason))
	}
	out.Write(e.before)
	if err := encodeJSON(out, text); err != nil {
		return err
	}
	out.Write(e.after)
	return nil
}

func encodeJSON(out *bytes.Buffer, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	out.Write(data)
	return nil
}
