package story

import (
	"bufio"
	"io"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// Lines about the groups and endpoints of a request are included from
// windowBefore its first line until windowAfter its last line.
const (
	windowBefore = 3 * time.Second
	windowAfter  = time.Second
)

const maxLineBytes = 1 << 20

// subjectKeys are the fields that identify the groups and endpoints of a line.
var subjectKeys = []string{"group", "endpoint"}

// Read returns the log lines of a source in their original order. It skips
// lines that cannot be parsed.
func Read(source io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, merry.Wrap(scanner.Err())
}

// Tell returns the lines of a request, and the lines from the same time about the
// groups and endpoints that it was sent to, sorted by time. It fails with
// NoSuchRequestError if no line has the request.
func Tell(lines []Line, request string) ([]Line, error) {
	requestLines, subjects := findRequest(lines, request)
	if len(requestLines) == 0 {
		return nil, &NoSuchRequestError{Request: request}
	}
	first, last := requestLines[0].Time.Add(-windowBefore), requestLines[len(requestLines)-1].Time.Add(windowAfter)
	for _, line := range lines {
		if line.stringField("request") == "" && !line.Time.Before(first) && !line.Time.After(last) && hasSubject(line, subjects) {
			requestLines = append(requestLines, line)
		}
	}
	sortByTime(requestLines)
	return requestLines, nil
}

// findRequest returns the lines of a request, sorted by time, and the names of
// the groups and endpoints in them.
func findRequest(lines []Line, request string) ([]Line, map[string]bool) {
	var requestLines []Line
	subjects := map[string]bool{}
	for _, line := range lines {
		if line.stringField("request") != request {
			continue
		}
		requestLines = append(requestLines, line)
		for _, key := range subjectKeys {
			if name := line.stringField(key); name != "" {
				subjects[name] = true
			}
		}
	}
	sortByTime(requestLines)
	return requestLines, subjects
}

// hasSubject reports whether a line is about one of the groups or endpoints.
func hasSubject(line Line, subjects map[string]bool) bool {
	return slices.ContainsFunc(subjectKeys, func(key string) bool { return subjects[line.stringField(key)] })
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
