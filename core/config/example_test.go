package config

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestExamples checks that the example configuration is valid.
func TestExamples(t *testing.T) {
	paths, err := filepath.Glob("../../examples/config/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got %d files, %v; want some", len(paths), err)
	}
	var files []File
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, File{Name: filepath.Base(path), Content: content})
	}
	config, found := Merge(1, files)
	if len(found) > 0 {
		t.Fatalf("got %v, want no faults", found)
	}
	assertEqual(t, "services", len(config.Services()), 3)
}

// TestPageListsFields checks that the tables in docs/CONFIGURATION.md list
// exactly the fields of the schema.
func TestPageListsFields(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		got = append(got, match[1])
	}
	want := fieldPaths(fileSchema, "")
	slices.Sort(got)
	slices.Sort(want)
	assertEqual(t, "fields", strings.Join(got, "\n"), strings.Join(want, "\n"))
}

// fieldPaths returns the paths of all fields. NAME stands for names that
// operators choose.
func fieldPaths(part *schema, field string) []string {
	switch {
	case part.items != nil:
		return fieldPaths(part.items, field+"[]")
	case part.entries != nil:
		return fieldPaths(part.entries, join(field, "NAME"))
	case part.value != nil:
		return []string{field}
	}
	var list []string
	for _, name := range part.fieldNames() {
		list = append(list, fieldPaths(part.fields[name], join(field, name))...)
	}
	return list
}
