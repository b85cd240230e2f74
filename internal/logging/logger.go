// Package logging provides the logger of the programs. It writes JSON lines.
// Errors wrapped by merry, such as those of external calls, are logged with the
// source line at which they were wrapped.
package logging

import (
	"io"
	"log/slog"

	"github.com/ansel1/merry/v2"
)

// Keys of a logged error.
const (
	keyMessage = "message"
	keySource  = "source"
)

// New returns a logger that writes JSON lines.
func New(w io.Writer) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{ReplaceAttr: withSource}))
}

// withSource adds to an error the source line at which it was wrapped, if known.
func withSource(_ []string, attr slog.Attr) slog.Attr {
	err, ok := attr.Value.Any().(error)
	if !ok {
		return attr
	}
	source := merry.SourceLine(err)
	if source == "" {
		return slog.String(attr.Key, err.Error())
	}
	return slog.Group(attr.Key, keyMessage, err.Error(), keySource, source)
}
