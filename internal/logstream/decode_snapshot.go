package logstream

import "github.com/plantainmux/plantainmux/internal/infra"

// DecodeSnapshot returns the last offset that a KindSnapshot record covers and the
// encoded state of the fold at that offset.
func DecodeSnapshot(body []byte) (asOf infra.Offset, state []byte, err error) {
	var decoded snapshot
	if err := Unmarshal(body, &decoded); err != nil {
		return 0, nil, err
	}
	return decoded.AsOf, decoded.State, nil
}
