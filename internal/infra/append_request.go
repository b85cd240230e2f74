package infra

// AppendRequest is the request body of an append to a stream.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer is the response body of an append.
type AppendAnswer struct {
	First Offset `json:"first"` // offset of the first appended record
	Next  Offset `json:"next"`
}
