// Package logging makes the logger of the programs: JSON lines, in which a
// failure that came from outside names the source line where it came in.
package logging

import (
	"io"
	"log/slog"

	"github.com/ansel1/merry/v2"
)

// Keys of a logged failure.
const (
	keyMessage = "message"
	keySource  = "source"
)

// New returns a logger that writes JSON lines.
func New(w io.Writer) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{ReplaceAttr: withSource}))
}

// withSource adds to an error the line at which it was wrapped.
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
