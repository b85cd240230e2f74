package logstream

import "github.com/fxamacker/cbor/v2"

// deterministic encodes equal values to equal bytes, maps included.
var deterministic = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes a value deterministically.
func Marshal(value any) ([]byte, error) {
	return deterministic.Marshal(value)
}

// Unmarshal decodes what Marshal encoded.
func Unmarshal(data []byte, value any) error {
	return cbor.Unmarshal(data, value)
}
