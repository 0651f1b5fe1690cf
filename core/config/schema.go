package config

import (
	"slices"
	"strings"
)

// schema is what a part of a file may hold. Exactly one of fields, entries,
// items and value is set.
type schema struct {
	// fields are the keys of a map with known keys.
	fields map[string]*schema
	// entries is what each key of a map with names of the operators' holds.
	entries *schema
	// items is what each item of a list holds.
	items *schema
	// value checks a single value.
	value *valueType
}

// folder is the schema of every file.
var folder = &schema{fields: map[string]*schema{
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

// want describes the schema's shape.
func (s *schema) want() kind {
	switch {
	case s.value != nil:
		return scalar
	case s.items != nil:
		return list
	}
	return mapping
}

// check finds what in one file does not fit the schema.
func (s *schema) check(part *node, field string, found *faults) {
	if part.kind != s.want() {
		found.at(part, field, "want "+s.describe()+", not "+part.kind.String())
		return
	}
	switch part.kind {
	case scalar:
		if text := s.value.check(part); text != "" {
			found.at(part, field, text)
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
		return s.value.want
	}
	return s.want().String()
}

func (s *schema) checkMap(part *node, field string, found *faults) {
	for _, key := range part.names {
		value := part.fields[key]
		at := join(field, key)
		inner := s.entries
		if inner == nil {
			inner = s.fields[key]
		} else if !validName(key) {
			found.at(value, at, "a name is "+nameValue.want)
			continue
		}
		if inner == nil {
			found.at(value, at, "unknown field; known here: "+strings.Join(s.known(), ", "))
			continue
		}
		if value.kind != null {
			inner.check(value, at, found)
		}
	}
}

// known lists the fields of a map with known keys.
func (s *schema) known() []string {
	names := make([]string, 0, len(s.fields))
	for key := range s.fields {
		names = append(names, key)
	}
	slices.Sort(names)
	return names
}
