package story

import (
	"bufio"
	"io"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// Time around a request in which what the daemons learnt is part of its story.
const (
	before = 3 * time.Second
	after  = time.Second
)

const longestLine = 1 << 20 // bytes

// keys are the fields by which lines about the same thing are found.
var keys = []string{"group", "endpoint"}

// Read returns the log lines of a source, in its order.
func Read(source io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, longestLine)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, merry.Wrap(scanner.Err())
}

// Tell returns the lines that tell the story of a request, in order of time. It
// fails with NoSuchRequestError if no line names the request.
func Tell(lines []Line, request string) ([]Line, error) {
	own, about := find(lines, request)
	if len(own) == 0 {
		return nil, &NoSuchRequestError{Request: request}
	}
	first, last := own[0].Time.Add(-before), own[len(own)-1].Time.Add(after)
	for _, line := range lines {
		if line.text("request") == "" && !line.Time.Before(first) && !line.Time.After(last) && concerns(line, about) {
			own = append(own, line)
		}
	}
	sortByTime(own)
	return own, nil
}

// find returns the lines of a request, and the groups and endpoints they name.
func find(lines []Line, request string) ([]Line, map[string]bool) {
	var own []Line
	about := map[string]bool{}
	for _, line := range lines {
		if line.text("request") != request {
			continue
		}
		own = append(own, line)
		for _, key := range keys {
			if name := line.text(key); name != "" {
				about[name] = true
			}
		}
	}
	sortByTime(own)
	return own, about
}

func concerns(line Line, about map[string]bool) bool {
	return slices.ContainsFunc(keys, func(key string) bool { return about[line.text(key)] })
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
