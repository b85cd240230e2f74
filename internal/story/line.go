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

// Line is one parsed log line.
type Line struct {
	Time    time.Time
	Message string
	Node    string         // daemon that logged the line
	Fields  map[string]any // all other fields except the level
}

// parse parses a log line. It skips text before the first brace, because log
// collectors add a prefix. It returns false if the text is not a log line.
func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[begin:], &fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, takeString(fields, "time"))
	if err != nil {
		return Line{}, false
	}
	delete(fields, "level")
	return Line{Time: at, Message: takeString(fields, "msg"), Node: takeString(fields, "node"), Fields: fields}, true
}

// takeString removes a field and returns its value, or an empty string if it is
// not a string.
func takeString(fields map[string]any, name string) string {
	value, _ := fields[name].(string)
	delete(fields, name)
	return value
}

// stringField returns the value of a string field, or an empty string if there
// is none.
func (l Line) stringField(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// String returns the line in readable form: time, node, message, and fields
// sorted by name.
func (l Line) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s %s", l.Time.Format("15:04:05.000"), l.Node, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&out, " %s=%v", name, l.Fields[name])
	}
	return out.String()
}
