package config

import (
	"bytes"
	"slices"
	"strings"
)

// Limits of the files of a folder.
const (
	// MaxFileSize is the maximum size of a file in bytes.
	MaxFileSize = 64 << 10
	// maxFaults is the maximum number of faults that Merge and CheckChange
	// return.
	maxFaults = 100
	// maxNesting is the maximum number of the characters [ { - ? : in a line. Each of
	// them can begin a nested value.
	maxNesting = 200
	// maxFlowNodes is the maximum number of the characters [ and { in a file, which
	// begin inline lists and maps.
	maxFlowNodes = 4096
)

// File is a file of the configuration folder.
type File struct {
	Name    string
	Content []byte
}

// Merge parses the files of a folder, merges them in the byte order of their
// names and validates the result. It returns either a configuration or the
// faults. The result is deterministic, so that all hosts return the same faults.
//
// Maps are merged key by key. A single value or a list of a later file replaces
// that of an earlier file. An explicit null removes the key as set by earlier
// files; a later file may set the key again.
func Merge(version uint64, files []File) (*Config, []Fault) {
	return new(Merger).Merge(version, files)
}

// Merger merges a folder repeatedly. It caches the parsed files, so that only
// changed files are parsed again; the results are those of the function Merge.
// The zero value is ready for use. A Merger is not safe for concurrent use.
type Merger struct {
	parsed map[string]parsedFile
}

// parsedFile is the result of parsing a file: its tree, which is nil if the file
// is empty or malformed, and its faults.
type parsedFile struct {
	text   []byte
	root   *node
	faults []Fault
}

// Merge returns the result of the function Merge for the files.
func (m *Merger) Merge(version uint64, files []File) (*Config, []Fault) {
	found := &faults{}
	root := &node{kind: mapping, fields: map[string]*node{}}
	parsed := make(map[string]parsedFile, len(files))
	for _, file := range sortedFiles(files) {
		if _, ok := parsed[file.Name]; ok {
			found.add(file.Name, 0, "", "two files have this name; rename or remove one")
			continue
		}
		result, ok := m.parsed[file.Name]
		if !ok || !bytes.Equal(result.text, file.Content) {
			result = parseFile(file)
		}
		parsed[file.Name] = result
		found.list = append(found.list, result.faults...)
		if result.root != nil {
			overlay(root, result.root)
		}
	}
	m.parsed = parsed
	if found.nonEmpty() {
		return nil, found.sorted()
	}
	config := build(version, root, found)
	if found.nonEmpty() {
		return nil, found.sorted()
	}
	return config, nil
}

// sortedFiles returns the files sorted by name and then by content.
func sortedFiles(files []File) []File {
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(a, b File) int {
		if order := strings.Compare(a.Name, b.Name); order != 0 {
			return order
		}
		return slices.Compare(a.Content, b.Content)
	})
	return sorted
}

// CheckFileName returns a description of what is wrong with the name of a file,
// or an empty string if the name is valid.
func CheckFileName(file string) string {
	base, yaml := strings.CutSuffix(file, ".yaml")
	if !yaml || !validName(base) {
		return "want a file name of letters, digits, '.', '_' and '-' that starts with a letter or digit and ends in .yaml"
	}
	return ""
}

// parseFile parses a file and checks it against the schema.
func parseFile(file File) parsedFile {
	result := parsedFile{text: bytes.Clone(file.Content)}
	found := &faults{}
	if text := CheckFileName(file.Name); text != "" {
		found.add(file.Name, 0, "", text)
	} else if root := parse(file, found); root != nil {
		fileSchema.check(root, "", found)
		result.root = root
	}
	result.faults = found.list
	return result
}

// overlay merges the mapping of a later file into base. It does not modify
// later.
func overlay(base, later *node) {
	for _, key := range later.names {
		value := later.fields[key]
		before := base.fields[key]
		switch {
		case value.kind == null:
			base.remove(key)
		case value.kind != mapping:
			base.put(key, value)
		case before != nil && before.kind == mapping:
			overlay(before, value)
		default:
			merged := &node{kind: mapping, file: value.file, line: value.line, fields: map[string]*node{}}
			overlay(merged, value)
			base.put(key, merged)
		}
	}
}
