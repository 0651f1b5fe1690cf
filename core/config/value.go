package config

import (
	"fmt"
	"net/netip"
	"path"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Limits of single values.
const (
	maxQueue       = 100_000
	maxMoves       = 4096
	maxSlots       = 10_000
	maxConnections = 100_000
	maxShards      = 4096
	maxOrder       = 1_000_000
	maxWeight      = 1_000_000
	// maxPattern is the maximum length of a pattern in bytes.
	maxPattern = 256
	// maxBodySize is the maximum of the max-body setting in bytes.
	maxBodySize = 16 << 20
	minDuration = time.Millisecond
	maxDuration = 24 * time.Hour
)

// valueType is the type of a single value.
type valueType struct {
	description string
	valid       func(text string) bool
	// literalTypes are the YAML types of the value. If it is empty, the value
	// must be a string.
	literalTypes []ast.NodeType
}

// check returns a description of what is wrong with a value, or an empty
// string.
func (t *valueType) check(value *node) string {
	if t.acceptsType(value) && t.valid(value.text) {
		return ""
	}
	return fmt.Sprintf("want %s, not %s", t.description, quoted(value))
}

func (t *valueType) acceptsType(value *node) bool {
	if value.literalType == ast.UnknownNodeType {
		return len(t.literalTypes) == 0
	}
	for _, literalType := range t.literalTypes {
		if literalType == value.literalType {
			return true
		}
	}
	return false
}

// quoted returns a value for use in messages. Strings are quoted to distinguish
// "5" from 5, and long values are truncated.
func quoted(value *node) string {
	text := value.text
	if len(text) > 60 {
		text = text[:60] + "..."
	}
	if value.literalType == ast.UnknownNodeType {
		return strconv.Quote(text)
	}
	return text
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// validName reports whether text is a valid name. Valid names are safe in paths,
// headers and file names.
func validName(text string) bool { return namePattern.MatchString(text) }

var nameValue = &valueType{
	description: "1 to 63 letters, digits, '.', '_' and '-', first a letter or digit (a number, true or false in quotes)",
	valid:       validName,
}

var durationValue = &valueType{
	description: "a duration with its unit from 1ms to 24h, such as 800ms or 5s",
	valid: func(text string) bool {
		value, err := time.ParseDuration(text)
		return err == nil && value >= minDuration && value <= maxDuration
	},
}

var sizeValue = &valueType{
	description: "a size with its unit (B, KiB, MiB) from 1B to 16MiB, such as 1MiB",
	valid: func(text string) bool {
		size, ok := parseSize(text)
		return ok && size >= 1 && size <= maxBodySize
	},
}

var booleanValue = &valueType{
	description:  "true or false",
	valid:        func(text string) bool { return text == "true" || text == "false" },
	literalTypes: []ast.NodeType{ast.BoolType},
}

var weightValue = &valueType{
	description: "a number from 0 to 1000000",
	valid: func(text string) bool {
		value, ok := parseWeight(text)
		return ok && value >= 0 && value <= maxWeight
	},
	literalTypes: []ast.NodeType{ast.IntegerType, ast.FloatType},
}

var methodValue = &valueType{
	description: "an HTTP method in capitals, such as POST",
	valid:       regexp.MustCompile(`^[A-Z]{1,20}$`).MatchString,
}

var pathValue = &valueType{
	description: "a path pattern that starts with / or *, such as \"/payouts*\"",
	valid: func(text string) bool {
		return validPattern(text) && strings.ContainsAny(text[:1], "/*")
	},
}

var patternValue = &valueType{
	description: "a key pattern, such as \"north-*\" or \"*\"",
	valid:       validPattern,
}

var addressValue = &valueType{
	description: "an IP:port, such as \"127.0.0.31:9001\"",
	valid: func(text string) bool {
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
			return false
		}
		ip := address.Addr()
		return !ip.IsUnspecified() && !ip.IsMulticast() && address.String() == text
	},
}

var integerPattern = regexp.MustCompile(`^(0|-?[1-9][0-9]{0,9})$`)

func integerValue(minimum, maximum int) *valueType {
	return &valueType{
		description: fmt.Sprintf("a whole number from %d to %d", minimum, maximum),
		valid: func(text string) bool {
			value, err := strconv.Atoi(text)
			return err == nil && integerPattern.MatchString(text) && value >= minimum && value <= maximum
		},
		literalTypes: []ast.NodeType{ast.IntegerType},
	}
}

// validPattern reports whether text is a path.Match pattern of bounded
// length without control characters.
func validPattern(text string) bool {
	if text == "" || len(text) > maxPattern {
		return false
	}
	for _, char := range text {
		if char < ' ' || char == 0x7f {
			return false
		}
	}
	_, err := path.Match(text, "")
	return err == nil
}

var sizePattern = regexp.MustCompile(`^([1-9][0-9]{0,9})(B|KiB|MiB)$`)

// parseSize parses a size with a unit and returns the size in bytes.
func parseSize(text string) (int64, bool) {
	parts := sizePattern.FindStringSubmatch(text)
	if parts == nil {
		return 0, false
	}
	count, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return 0, false
	}
	units := map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}
	return count * units[parts[2]], true
}

var weightPattern = regexp.MustCompile(`^(0|[1-9][0-9]{0,6})(\.[0-9]{1,6})?$`)

// parseWeight parses a decimal number without sign or exponent.
func parseWeight(text string) (float64, bool) {
	if !weightPattern.MatchString(text) {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}
