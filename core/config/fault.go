package config

import (
	"cmp"
	"fmt"
	"slices"
)

// String returns the fault as "file:line: field: text". Empty parts are left
// out.
func (f Fault) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	text := f.Text
	if f.Field != "" {
		text = f.Field + ": " + text
	}
	if place == "" {
		return text
	}
	return place + ": " + text
}

// faults collects the faults of a folder of files.
type faults struct {
	list []Fault
}

func (f *faults) add(file string, line int, field, text string) {
	f.list = append(f.list, Fault{File: file, Line: line, Field: field, Text: text})
}

// addAt adds a fault at the position of a node.
func (f *faults) addAt(part *node, field, text string) {
	f.add(part.file, part.line, field, text)
}

// addAtPosition adds a fault at a source position.
func (f *faults) addAtPosition(at position, field, text string) {
	f.add(at.file, at.line, field, text)
}

func (f *faults) nonEmpty() bool { return len(f.list) > 0 }

// sorted returns the faults without duplicates, sorted by file, line, field and
// text. It returns at most maxFaults faults.
func (f *faults) sorted() []Fault {
	slices.SortFunc(f.list, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Field, b.Field),
			cmp.Compare(a.Text, b.Text),
		)
	})
	unique := slices.Compact(f.list)
	return unique[:min(len(unique), maxFaults)]
}
