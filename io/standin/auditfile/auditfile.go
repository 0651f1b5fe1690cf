// Package auditfile reads the files that targets and callers write for the
// audit: JSON lines, one file for each target and each caller.
package auditfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"pineturn/core/audit"
)

// Patterns of the names of the files.
const (
	AuditPattern  = "*.audit.jsonl"
	RecordPattern = "*.record.jsonl"
)

// Read reads all audits and records in a folder.
func Read(folder string) ([]audit.File, []audit.Record, error) {
	names, err := filepath.Glob(filepath.Join(folder, AuditPattern))
	if err != nil {
		return nil, nil, fmt.Errorf("list audits: %w", err)
	}
	files := make([]audit.File, 0, len(names))
	for _, name := range names {
		entries, err := readLines[audit.Entry](name)
		if err != nil {
			return nil, nil, err
		}
		files = append(files, audit.File{Name: filepath.Base(name), Entries: entries})
	}
	records, err := readRecords(folder)
	return files, records, err
}

func readRecords(folder string) ([]audit.Record, error) {
	names, err := filepath.Glob(filepath.Join(folder, RecordPattern))
	if err != nil {
		return nil, fmt.Errorf("list records: %w", err)
	}
	var records []audit.Record
	for _, name := range names {
		more, err := readLines[audit.Record](name)
		if err != nil {
			return nil, err
		}
		records = append(records, more...)
	}
	return records, nil
}

// readLines decodes each line of a file, and names the first bad one.
func readLines[T any](path string) ([]T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read audit: %w", err)
	}
	var values []T
	number := 0
	for line := range bytes.Lines(data) {
		number++
		var value T
		if err := json.Unmarshal(line, &value); err != nil {
			return nil, fmt.Errorf("%s, line %d: %w", filepath.Base(path), number, err)
		}
		values = append(values, value)
	}
	return values, nil
}
