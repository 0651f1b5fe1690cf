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

// Bounds of single values.
const (
	maxQueue       = 100_000
	maxMoves       = 4096
	maxSlots       = 10_000
	maxConnections = 100_000
	maxShards      = 4096
	maxOrder       = 1_000_000
	maxWeight      = 1_000_000
	maxPattern     = 256
	// maxBodySize is the largest limit of a request body, in bytes.
	maxBodySize = 16 << 20
	minDuration = time.Millisecond
	maxDuration = 24 * time.Hour
)

// valueType is a kind of single value.
type valueType struct {
	want string
	ok   func(text string) bool
	// plain lists the unquoted types other than text that may hold it.
	plain []ast.NodeType
}

// check says what is wrong with a value, or "".
func (t *valueType) check(value *node) string {
	if t.fits(value) && t.ok(value.text) {
		return ""
	}
	return fmt.Sprintf("want %s, not %s", t.want, shown(value))
}

func (t *valueType) fits(value *node) bool {
	if value.plain == ast.UnknownNodeType {
		return len(t.plain) == 0
	}
	for _, plain := range t.plain {
		if plain == value.plain {
			return true
		}
	}
	return false
}

// shown quotes text, so that "5" and 5 are told apart.
func shown(value *node) string {
	text := value.text
	if len(text) > 60 {
		text = text[:60] + "..."
	}
	if value.plain == ast.UnknownNodeType {
		return strconv.Quote(text)
	}
	return text
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// validName reports whether a name is safe in paths, headers and file names.
func validName(text string) bool { return namePattern.MatchString(text) }

var nameValue = &valueType{
	want: "1 to 63 letters, digits, '.', '_' and '-', first a letter or digit (a number, true or false in quotes)",
	ok:   validName,
}

var durationValue = &valueType{
	want: "a duration with its unit from 1ms to 24h, such as 800ms or 5s",
	ok: func(text string) bool {
		value, err := time.ParseDuration(text)
		return err == nil && value >= minDuration && value <= maxDuration
	},
}

var sizeValue = &valueType{
	want: "a size with its unit (B, KiB, MiB) from 1B to 16MiB, such as 1MiB",
	ok: func(text string) bool {
		size, ok := parseSize(text)
		return ok && size >= 1 && size <= maxBodySize
	},
}

var booleanValue = &valueType{
	want:  "true or false",
	ok:    func(text string) bool { return text == "true" || text == "false" },
	plain: []ast.NodeType{ast.BoolType},
}

var weightValue = &valueType{
	want: "a number from 0 to 1000000",
	ok: func(text string) bool {
		value, ok := parseWeight(text)
		return ok && value >= 0 && value <= maxWeight
	},
	plain: []ast.NodeType{ast.IntegerType, ast.FloatType},
}

var methodValue = &valueType{
	want: "an HTTP method in capitals, such as POST",
	ok:   regexp.MustCompile(`^[A-Z]{1,20}$`).MatchString,
}

var pathValue = &valueType{
	want: "a path pattern that starts with / or *, such as \"/payouts*\"",
	ok: func(text string) bool {
		return validPattern(text) && strings.ContainsAny(text[:1], "/*")
	},
}

var patternValue = &valueType{
	want: "a key pattern, such as \"north-*\" or \"*\"",
	ok:   validPattern,
}

var addressValue = &valueType{
	want: "an IP:port, such as \"127.0.0.31:9001\"",
	ok: func(text string) bool {
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
			return false
		}
		ip := address.Addr()
		return !ip.IsUnspecified() && !ip.IsMulticast() && address.String() == text
	},
}

var integerPattern = regexp.MustCompile(`^(0|-?[1-9][0-9]{0,9})$`)

func integerValue(least, most int) *valueType {
	return &valueType{
		want: fmt.Sprintf("a whole number from %d to %d", least, most),
		ok: func(text string) bool {
			value, err := strconv.Atoi(text)
			return err == nil && integerPattern.MatchString(text) && value >= least && value <= most
		},
		plain: []ast.NodeType{ast.IntegerType},
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

// parseSize reads a size in bytes.
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

// parseWeight reads a plain decimal number.
func parseWeight(text string) (float64, bool) {
	if !weightPattern.MatchString(text) {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}
