package config

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"

	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

// FileName is the name of the files that are collected.
const FileName = "plantainmux.yaml"

// FindFiles returns the configuration files among paths: a file itself, and
// every file of the fixed name below a directory. Hidden directories are left
// out.
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

// Collect reads files, puts them together and checks the whole. On a failure
// it returns all that is refused and no configuration.
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

// part is the content of one file.
type part struct {
	document      *strictyaml.Document
	configuration Configuration
}

// merge joins the lists of the parts. A policy is declared in one of them.
func merge(parts []part) (Configuration, error) {
	var whole Configuration
	var sources origins
	var problems strictyaml.Problems
	for _, p := range parts {
		sources.add("models", p.document, len(p.configuration.Models))
		sources.add("teams", p.document, len(p.configuration.Teams))
		sources.add("services", p.document, len(p.configuration.Services))
		sources.add("data_centres", p.document, len(p.configuration.DataCentres))
		whole.Models = append(whole.Models, p.configuration.Models...)
		whole.Teams = append(whole.Teams, p.configuration.Teams...)
		whole.Services = append(whole.Services, p.configuration.Services...)
		whole.DataCentres = append(whole.DataCentres, p.configuration.DataCentres...)
		if p.configuration.Policy == (Policy{}) {
			continue
		}
		if other := sources.policy; other != nil {
			place := fmt.Sprintf("also at %s:%d", other.File, other.Line("policy"))
			problems = append(problems, p.document.Problem("policy", strictyaml.Duplicate, place))
			continue
		}
		sources.policy = p.document
		whole.Policy = p.configuration.Policy
	}
	sources.first = parts[0].document
	problems = append(problems, validate(whole, &sources)...)
	if err := problems.Err(); err != nil {
		return Configuration{}, err
	}
	return whole, nil
}
