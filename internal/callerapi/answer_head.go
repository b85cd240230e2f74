package callerapi

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/request"
)

// answerHead holds the first fields of an answer and of each of its chunks.
type answerHead struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"` // Unix seconds
	Model   string `json:"model"`
}

func newAnswerHead(req *request.Request) answerHead {
	return answerHead{ID: req.ID, Created: time.Now().Unix(), Model: string(req.Model)}
}

// withObject returns the head with the given object type.
func (h answerHead) withObject(object string) answerHead {
	h.Object = object
	return h
}
