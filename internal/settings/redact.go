package settings

import (
	"encoding/json"
	"fmt"
	"log/slog"
)

const redacted = "[redacted]"

// plain has the fields of Settings but none of its methods. Formatting and
// encoding it therefore does not call the methods below recursively.
type plain Settings

// Redacted returns a copy of the settings with the secrets replaced.
func (s Settings) Redacted() Settings {
	if s.PeerSecret != "" {
		s.PeerSecret = redacted
	}
	if s.AdminToken != "" {
		s.AdminToken = redacted
	}
	return s
}

// Format implements fmt.Formatter. It redacts secrets for every verb.
func (s Settings) Format(state fmt.State, verb rune) {
	format := fmt.FormatString(state, verb)
	_, _ = fmt.Fprintf(state, format, plain(s.Redacted()))
}

// LogValue implements slog.LogValuer.
func (s Settings) LogValue() slog.Value {
	return slog.AnyValue(plain(s.Redacted()))
}

// MarshalJSON implements json.Marshaler.
func (s Settings) MarshalJSON() ([]byte, error) {
	return json.Marshal(plain(s.Redacted()))
}

// MarshalYAML implements yaml.Marshaler.
func (s Settings) MarshalYAML() (any, error) {
	return plain(s.Redacted()), nil
}
