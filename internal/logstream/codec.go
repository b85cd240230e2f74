package logstream

import "github.com/fxamacker/cbor/v2"

// deterministic encodes equal values, maps included, to equal bytes.
var deterministic = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes a value as deterministic CBOR.
func Marshal(value any) ([]byte, error) {
	return deterministic.Marshal(value)
}

// Unmarshal decodes a value encoded by Marshal.
func Unmarshal(data []byte, value any) error {
	return cbor.Unmarshal(data, value)
}
