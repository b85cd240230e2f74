package fakes

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Token returns the i-th token of the answer to a request's body. It contains a
// hash of the body, so that tests detect an answer that reaches the wrong caller.
func Token(body []byte, i int) string {
	return fmt.Sprintf("%016x-%d ", xxhash.Sum64(body), i)
}

// Answer returns the complete text of the answer to a request's body.
func Answer(body []byte, tokens int) string {
	text := ""
	for i := range tokens {
		text += Token(body, i)
	}
	return text
}
