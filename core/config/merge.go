package config

import (
	"bytes"
	"slices"
	"strings"
)

// Limits of a folder.
const (
	// MaxFileSize is the largest file, in bytes.
	MaxFileSize = 64 << 10
	// maxFaults is how many faults are told at once.
	maxFaults = 100
	// maxDepth bounds the nesting characters of one line.
	maxDepth = 200
	// maxFlow bounds the inline maps and lists of one file.
	maxFlow = 4096
)

// File is one file of the operators' folder.
type File struct {
	Name    string
	Content []byte
}

// Merge reads the files of a folder, merges them in the byte order of their
// names, and checks the result. It returns either a configuration or what
// is wrong, in the same words on every host.
//
// Maps merge key by key, and the later file wins for each single value. A
// list is replaced whole by that of the later file. An explicit null removes
// what earlier files say of its key; a later file may set it anew.
func Merge(version uint64, files []File) (*Config, []Fault) {
	return new(Merger).Merge(version, files)
}

// Merger merges one folder again and again as it changes. It remembers the
// files that it has read, which changes its speed but no result. The zero
// value is ready for use, by one goroutine at a time.
type Merger struct {
	read map[string]contents
}

// contents is what one file holds.
type contents struct {
	text   []byte
	root   *node
	faults []Fault
}

// Merge does what the function of this name does.
func (m *Merger) Merge(version uint64, files []File) (*Config, []Fault) {
	found := &faults{}
	root := &node{kind: mapping, fields: map[string]*node{}}
	read := make(map[string]contents, len(files))
	for _, file := range inOrder(files) {
		if _, ok := read[file.Name]; ok {
			found.add(file.Name, 0, "", "two files have this name; rename or remove one")
			continue
		}
		known, ok := m.read[file.Name]
		if !ok || !bytes.Equal(known.text, file.Content) {
			known = readFile(file)
		}
		read[file.Name] = known
		found.list = append(found.list, known.faults...)
		if known.root != nil {
			overlay(root, known.root)
		}
	}
	m.read = read
	if found.any() {
		return nil, found.sorted()
	}
	config := build(version, root, found)
	if found.any() {
		return nil, found.sorted()
	}
	return config, nil
}

// inOrder returns the files sorted by name, then content.
func inOrder(files []File) []File {
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(a, b File) int {
		if order := strings.Compare(a.Name, b.Name); order != 0 {
			return order
		}
		return slices.Compare(a.Content, b.Content)
	})
	return sorted
}

// CheckFileName says what is wrong with the name of a file, or "".
func CheckFileName(file string) string {
	base, yaml := strings.CutSuffix(file, ".yaml")
	if !yaml || !validName(base) {
		return "want a file name of letters, digits, '.', '_' and '-' that starts with a letter or digit and ends in .yaml"
	}
	return ""
}

// readFile parses one file and checks its shape.
func readFile(file File) contents {
	result := contents{text: bytes.Clone(file.Content)}
	found := &faults{}
	if text := CheckFileName(file.Name); text != "" {
		found.add(file.Name, 0, "", text)
	} else if root := parse(file, found); root != nil {
		folder.check(root, "", found)
		result.root = root
	}
	result.faults = found.list
	return result
}

// overlay merges a later file's mapping into base. It leaves later as it is.
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
			fresh := &node{kind: mapping, file: value.file, line: value.line, fields: map[string]*node{}}
			overlay(fresh, value)
			base.put(key, fresh)
		}
	}
}
