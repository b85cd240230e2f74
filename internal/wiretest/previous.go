package wiretest

import (
	"encoding/hex"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"
)

// PreviousFile holds the encoded messages of the previous version, one a line: its name and the
// message in hexadecimal. scripts/previous-messages.sh writes it.
const PreviousFile = "testdata/previous_version.hex"

// Previous returns the messages of PreviousFile by name.
func Previous() (map[string][]byte, error) {
	text, err := os.ReadFile(PreviousFile)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	messages := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, encoded, _ := strings.Cut(strings.TrimSpace(line), " ")
		if messages[name], err = hex.DecodeString(encoded); err != nil {
			return nil, merry.Wrap(err)
		}
	}
	return messages, nil
}
