// Package auditfile reads the audits of targets and the records of callers. Each
// target and each caller writes one file of JSON lines.
package auditfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"pineturn/core/audit"
)

// Patterns of the file names.
const (
	AuditPattern  = "*.audit.jsonl"
	RecordPattern = "*.record.jsonl"
)

// Read returns the content of all audits and records in a folder.
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
		fileRecords, err := readLines[audit.Record](name)
		if err != nil {
			return nil, err
		}
		records = append(records, fileRecords...)
	}
	return records, nil
}

// readLines decodes each line of a file. The error for an invalid line states its
// number.
func readLines[T any](path string) ([]T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read audit or record file: %w", err)
	}
	var values []T
	lineNumber := 0
	for line := range bytes.Lines(data) {
		lineNumber++
		var value T
		if err := json.Unmarshal(line, &value); err != nil {
			return nil, fmt.Errorf("%s, line %d: %w", filepath.Base(path), lineNumber, err)
		}
		values = append(values, value)
	}
	return values, nil
}
