package infra

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	First Offset `json:"first"`
	Next  Offset `json:"next"`
}
