package config

import (
	"slices"
	"strings"
)

// schema describes the allowed content of a part of a file. Exactly one of
// fields, entries, items and value is set.
type schema struct {
	// fields are the schemas of a map with fixed keys.
	fields map[string]*schema
	// entries is the schema of each value of a map whose keys are names that
	// operators choose.
	entries *schema
	// items is the schema of each item of a list.
	items *schema
	// value is the type of a single value.
	value *valueType
}

// fileSchema is the schema of every file.
var fileSchema = &schema{fields: map[string]*schema{
	"services": {entries: serviceSchema},
}}

var serviceSchema = &schema{fields: map[string]*schema{
	"timeout":      {value: durationValue},
	"max-timeout":  {value: durationValue},
	"max-body":     {value: sizeValue},
	"queue":        {value: integerValue(0, maxQueue)},
	"long-running": {value: booleanValue},
	"max-moves":    {value: integerValue(1, maxMoves)},
	"once-window":  {value: durationValue},
	"weights": {fields: map[string]*schema{
		"unavailable": {value: weightValue},
		"churn":       {value: weightValue},
		"imbalance":   {value: weightValue},
	}},
	"once": {items: &schema{fields: map[string]*schema{
		"method": {value: methodValue},
		"path":   {value: pathValue},
	}}},
	"targets": {entries: targetSchema},
	"groups":  {entries: groupSchema},
}}

var targetSchema = &schema{fields: map[string]*schema{
	"address":     {value: addressValue},
	"domain":      {value: nameValue},
	"slots":       {value: integerValue(1, maxSlots)},
	"connections": {value: integerValue(1, maxConnections)},
	"checked":     {value: booleanValue},
	"drain":       {value: booleanValue},
	"labels":      {entries: &schema{value: nameValue}},
}}

var groupSchema = &schema{fields: map[string]*schema{
	"keys":   {value: patternValue},
	"shards": {value: integerValue(1, maxShards)},
	"order":  {value: integerValue(-maxOrder, maxOrder)},
	"targets": {fields: map[string]*schema{
		"domain": {items: &schema{value: nameValue}},
		"names":  {items: &schema{value: nameValue}},
		"labels": {entries: &schema{value: nameValue}},
	}},
}}

// kind returns the node kind that the schema requires.
func (s *schema) kind() kind {
	switch {
	case s.value != nil:
		return scalar
	case s.items != nil:
		return list
	}
	return mapping
}

// check adds a fault for each part of a file that does not conform to the
// schema.
func (s *schema) check(part *node, field string, found *faults) {
	if part.kind != s.kind() {
		found.addAt(part, field, "want "+s.describe()+", not "+part.kind.String())
		return
	}
	switch part.kind {
	case scalar:
		if text := s.value.check(part); text != "" {
			found.addAt(part, field, text)
		}
	case list:
		for i, item := range part.items {
			s.items.check(item, index(field, i), found)
		}
	default:
		s.checkMap(part, field, found)
	}
}

func (s *schema) describe() string {
	if s.value != nil {
		return s.value.description
	}
	return s.kind().String()
}

func (s *schema) checkMap(part *node, field string, found *faults) {
	for _, key := range part.names {
		value := part.fields[key]
		at := join(field, key)
		valueSchema := s.entries
		if valueSchema == nil {
			valueSchema = s.fields[key]
		} else if !validName(key) {
			found.addAt(value, at, "invalid name; want "+nameValue.description)
			continue
		}
		if valueSchema == nil {
			found.addAt(value, at, "unknown field; known here: "+strings.Join(s.fieldNames(), ", "))
			continue
		}
		if value.kind != null {
			valueSchema.check(value, at, found)
		}
	}
}

// fieldNames returns the sorted keys of a map with fixed keys.
func (s *schema) fieldNames() []string {
	names := make([]string, 0, len(s.fields))
	for key := range s.fields {
		names = append(names, key)
	}
	slices.Sort(names)
	return names
}
