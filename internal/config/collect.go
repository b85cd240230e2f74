package config

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"

	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

// FileName is the name of the configuration files that FindFiles looks for in
// directories.
const FileName = "plantainmux.yaml"

// FindFiles returns the configuration files for a list of paths, sorted and
// without duplicates. A path to a file is taken as it is; a directory is searched
// recursively for files named FileName. Hidden directories are skipped.
func FindFiles(paths []string) ([]string, error) {
	var found []string
	for _, root := range paths {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return &strictyaml.FileError{File: path, Err: err}
			}
			hidden := path != root && strings.HasPrefix(entry.Name(), ".")
			if entry.IsDir() && hidden {
				return fs.SkipDir
			}
			if !entry.IsDir() && (path == root || entry.Name() == FileName) {
				found = append(found, path)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	slices.Sort(found)
	return slices.Compact(found), nil
}

// Collect reads files, merges them into one configuration and validates it. If
// any file or the result is invalid, it returns strictyaml.Problems and no
// configuration. Syntax and type errors of all files are reported together; the
// merged configuration is validated only if there are none. It fails with
// NoFilesError if files is empty, and with strictyaml.FileError if a file cannot
// be read.
func Collect(files []string) (Configuration, error) {
	if len(files) == 0 {
		return Configuration{}, &NoFilesError{}
	}
	var parts []part
	var problems strictyaml.Problems
	for _, file := range files {
		var configuration Configuration
		document, err := strictyaml.ReadFile(file, &configuration)
		if refused, ok := err.(strictyaml.Problems); ok {
			problems = append(problems, refused...)
			continue
		}
		if err != nil {
			return Configuration{}, err
		}
		parts = append(parts, part{document: document, configuration: configuration})
	}
	if err := problems.Err(); err != nil {
		return Configuration{}, err
	}
	return merge(parts)
}

// part is the decoded content of one file.
type part struct {
	document      *strictyaml.Document
	configuration Configuration
}

// merge concatenates the lists of the parts and validates the result. Only one of
// the parts may declare a policy.
func merge(parts []part) (Configuration, error) {
	var merged Configuration
	var sources origins
	var problems strictyaml.Problems
	for _, p := range parts {
		sources.add("models", p.document, len(p.configuration.Models))
		sources.add("teams", p.document, len(p.configuration.Teams))
		sources.add("services", p.document, len(p.configuration.Services))
		sources.add("data_centres", p.document, len(p.configuration.DataCentres))
		merged.Models = append(merged.Models, p.configuration.Models...)
		merged.Teams = append(merged.Teams, p.configuration.Teams...)
		merged.Services = append(merged.Services, p.configuration.Services...)
		merged.DataCentres = append(merged.DataCentres, p.configuration.DataCentres...)
		if p.configuration.Policy == (Policy{}) {
			continue
		}
		if other := sources.policy; other != nil {
			place := fmt.Sprintf("also at %s:%d", other.File, other.Line("policy"))
			problems = append(problems, p.document.Problem("policy", strictyaml.Duplicate, place))
			continue
		}
		sources.policy = p.document
		merged.Policy = p.configuration.Policy
	}
	sources.first = parts[0].document
	problems = append(problems, validate(merged, &sources)...)
	if err := problems.Err(); err != nil {
		return Configuration{}, err
	}
	return merged, nil
}
