package config

import (
	"cmp"
	"fmt"
	"slices"
)

// String returns file:line: field: text, without the parts that are not known.
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

// faults collects what is wrong with a folder.
type faults struct {
	list []Fault
}

func (f *faults) add(file string, line int, field, text string) {
	f.list = append(f.list, Fault{File: file, Line: line, Field: field, Text: text})
}

// at adds a fault where a node stands.
func (f *faults) at(place *node, field, text string) {
	f.add(place.file, place.line, field, text)
}

// in adds a fault at a place.
func (f *faults) in(at place, field, text string) {
	f.add(at.file, at.line, field, text)
}

func (f *faults) any() bool { return len(f.list) > 0 }

// sorted returns the first faults by file, line, field and text.
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
