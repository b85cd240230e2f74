package story

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Message string
	Node    string
	Fields  map[string]any // all others
}

// parse reads a line. Text before the first brace is passed over, as collectors
// of logs put their own there. It returns false for what is no log line.
func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[begin:], &fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, take(fields, "time"))
	if err != nil {
		return Line{}, false
	}
	delete(fields, "level")
	return Line{Time: at, Message: take(fields, "msg"), Node: take(fields, "node"), Fields: fields}, true
}

// take removes a text field and returns it.
func take(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

// text returns a text field, empty if there is none.
func (l Line) text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// String returns the line for people: time, daemon, message and fields by name.
func (l Line) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s %s", l.Time.Format("15:04:05.000"), l.Node, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&out, " %s=%v", name, l.Fields[name])
	}
	return out.String()
}
