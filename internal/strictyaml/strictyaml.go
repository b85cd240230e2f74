// Package strictyaml decodes YAML files strictly: it rejects unknown and
// duplicate fields and values of the wrong type. Each problem has the file, the
// line, the field and the reason.
package strictyaml

import (
	"bytes"
	"errors"
	"io"
	"os"
	"reflect"
	"regexp"
	"strconv"

	"github.com/ansel1/merry/v2"
	"go.yaml.in/yaml/v3"
)

var syntaxError = regexp.MustCompile(`^yaml: (?:line (\d+): )?([^'"]*)`)

// ReadFile decodes a file into value, a pointer to a struct. It fails with
// FileError if the file cannot be read, and with Problems if its content is
// invalid; value is unchanged then.
func ReadFile(path string, value any) (*Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{File: path, Err: merry.Wrap(err)}
	}
	return Decode(path, data, value)
}

// Decode decodes the content of a file into value, as ReadFile does. name
// stands for the file name in problems.
func Decode(name string, data []byte, value any) (*Document, error) {
	document := &Document{File: name, lines: map[string]int{}}
	root, err := parse(document, data)
	if err != nil {
		return nil, err
	}
	check := checker{document: document}
	check.check(root, reflect.TypeOf(value).Elem(), "")
	if len(check.problems) > 0 {
		return nil, check.problems
	}
	if err := root.Decode(value); err != nil {
		return nil, syntaxProblem(document, err)
	}
	return document, nil
}

func parse(document *Document, data []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var root, extra yaml.Node
	if err := decoder.Decode(&root); errors.Is(err, io.EOF) || len(root.Content) == 0 && err == nil {
		return nil, Problems{document.Problem("", Missing, "the file is empty")}
	} else if err != nil {
		return nil, syntaxProblem(document, err)
	}
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return nil, Problems{document.Problem("", Unsupported, "the file holds more than one document")}
	}
	return root.Content[0], nil
}

// syntaxProblem converts an error of the YAML parser. It omits text that the
// parser quotes from the file, which may be a secret.
func syntaxProblem(document *Document, err error) Problems {
	problem := Problem{File: document.File, Reason: NotYAML, Detail: "the file cannot be parsed"}
	if match := syntaxError.FindStringSubmatch(err.Error()); match != nil {
		problem.Detail = match[2]
		if line, err := strconv.Atoi(match[1]); err == nil {
			problem.Line = line
			problem.Detail = "on or after this line: " + match[2]
		}
	}
	return Problems{problem}
}
