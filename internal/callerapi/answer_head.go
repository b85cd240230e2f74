package callerapi

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/request"
)

// answerHead is what an answer and each of its chunks begin with.
type answerHead struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"` // Unix seconds
	Model   string `json:"model"`
}

func newAnswerHead(req *request.Request) answerHead {
	return answerHead{ID: req.ID, Created: time.Now().Unix(), Model: string(req.Model)}
}

// of returns the head of an object of a kind.
func (h answerHead) of(object string) answerHead {
	h.Object = object
	return h
}
