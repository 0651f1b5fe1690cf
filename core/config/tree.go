package config

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// kind is the kind of a node.
type kind uint8

const (
	mapping kind = iota + 1
	list
	scalar
	null
)

func (k kind) String() string {
	switch k {
	case mapping:
		return "a map"
	case list:
		return "a list"
	case scalar:
		return "a single value"
	}
	return "null"
}

// node is a part of a file with its source position.
type node struct {
	kind   kind
	file   string
	line   int
	names  []string
	fields map[string]*node
	items  []*node
	text   string
	// literalType is the type of an unquoted scalar that is not a string.
	literalType ast.NodeType
}

// field returns a field of a mapping, or nil.
func (n *node) field(name string) *node {
	if n == nil {
		return nil
	}
	return n.fields[name]
}

// put sets a field of a mapping. New fields are appended to the names.
func (n *node) put(name string, value *node) {
	if _, ok := n.fields[name]; !ok {
		n.names = append(n.names, name)
	}
	n.fields[name] = value
}

func (n *node) remove(name string) {
	if _, ok := n.fields[name]; !ok {
		return
	}
	delete(n.fields, name)
	kept := make([]string, 0, len(n.names))
	for _, other := range n.names {
		if other != name {
			kept = append(kept, other)
		}
	}
	n.names = kept
}

// converter converts the syntax tree of a file to nodes.
type converter struct {
	file   string
	faults *faults
}

// parse parses the content of a file. It returns nil if the file is empty or
// malformed.
func parse(file File, faults *faults) *node {
	c := converter{file: file.Name, faults: faults}
	if text := contentFault(file.Content); text != "" {
		c.addFault(1, "", text)
		return nil
	}
	parsed, err := parseYAML(file.Content)
	if err != nil {
		line, text := syntaxFault(err)
		c.addFault(line, "", text)
		return nil
	}
	return c.convertDocument(parsed)
}

// contentFault returns the reason why content must not be passed to the parser,
// or an empty string.
func contentFault(content []byte) string {
	switch {
	case len(content) > MaxFileSize:
		return fmt.Sprintf("file has %d bytes, more than the allowed %d; split it", len(content), MaxFileSize)
	case !utf8.Valid(content):
		return "not UTF-8 text"
	case strings.ContainsRune(string(content), '\ufeff'):
		return "contains a byte order mark; save the file without one"
	case strings.ContainsRune(string(content), 0):
		return "contains a NUL byte"
	case nestingFault(string(content)):
		return fmt.Sprintf("too many inline maps and lists in the file, or more than %d of the characters [ { - ? : in one line", maxNesting)
	}
	return ""
}

// nestingFault reports whether a line of text has more than maxNesting characters
// that can begin a nested value, or the text has more than maxFlowNodes opening
// brackets and braces. The parser would recurse deeper on such text than any
// reasonable file needs.
func nestingFault(text string) bool {
	for line := range strings.Lines(text) {
		depth := 0
		for _, char := range line {
			if strings.ContainsRune("[{-?:", char) {
				depth++
			}
		}
		if depth > maxNesting {
			return true
		}
	}
	return strings.Count(text, "[")+strings.Count(text, "{") > maxFlowNodes
}

// parseYAML parses content and returns a panic of the parser as an error.
func parseYAML(content []byte) (file *ast.File, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("not YAML: %v", cause)
		}
	}()
	return parser.ParseBytes(content, 0)
}

func syntaxFault(err error) (line int, text string) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		if syntax.Token != nil && syntax.Token.Position != nil {
			line = syntax.Token.Position.Line
		}
		return line, "not YAML: " + syntax.Message
	}
	return 1, strings.SplitN(err.Error(), "\n", 2)[0]
}

func (c converter) addFault(line int, field, text string) {
	c.faults.add(c.file, line, field, text)
}

func (c converter) convertDocument(file *ast.File) *node {
	var root *node
	count := 0
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if _, ok := doc.Body.(*ast.CommentGroupNode); ok {
			continue
		}
		count++
		if count > 1 {
			c.addFault(lineOf(doc.Body), "", "second YAML document; write one document per file, without ---")
			return nil
		}
		root = c.convert(doc.Body, "")
	}
	if root == nil || root.kind == mapping {
		return root
	}
	c.addFault(root.line, "", "want a map with the key services, not "+root.kind.String())
	return nil
}

// convert converts a part of a file. It adds a fault and returns nil if the part
// is not allowed.
func (c converter) convert(part ast.Node, field string) *node {
	result := &node{file: c.file, line: lineOf(part)}
	switch part := part.(type) {
	case *ast.MappingNode:
		return c.convertMapping(result, part.Values, field)
	case *ast.MappingValueNode:
		return c.convertMapping(result, []*ast.MappingValueNode{part}, field)
	case *ast.SequenceNode:
		return c.convertList(result, part.Values, field)
	case *ast.StringNode:
		result.kind, result.text = scalar, part.Value
		return result
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		result.kind, result.text, result.literalType = scalar, part.GetToken().Value, part.Type()
		return result
	case *ast.NullNode:
		return c.convertNull(result, part, field)
	case *ast.AliasNode:
		c.addFault(result.line, field, "aliases are not allowed; put a value that starts with * in quotes")
		return nil
	case *ast.LiteralNode:
		c.addFault(result.line, field, "block scalars are not allowed; write the value on one line")
		return nil
	}
	c.addFault(result.line, field, "anchors, tags and directives are not allowed")
	return nil
}

func (c converter) convertNull(result *node, part *ast.NullNode, field string) *node {
	if part.Token == nil || part.Token.Type == token.ImplicitNullType || part.Token.Value == "" {
		c.addFault(result.line, field, "has no value; write null to remove the key, or {} for an empty map")
		return nil
	}
	result.kind = null
	return result
}

func (c converter) convertMapping(result *node, values []*ast.MappingValueNode, field string) *node {
	result.kind = mapping
	result.fields = make(map[string]*node, len(values))
	for _, value := range values {
		key, ok := value.Key.(*ast.StringNode)
		if !ok {
			c.addFault(lineOf(value), field, "want a string as key; put a number, true, false or null in quotes")
			continue
		}
		if _, ok := result.fields[key.Value]; ok {
			c.addFault(lineOf(key), join(field, key.Value), "duplicate key in this file; remove one of them")
			continue
		}
		child := c.convert(value.Value, join(field, key.Value))
		if child != nil {
			child.line = lineOf(key)
			result.put(key.Value, child)
		}
	}
	return result
}

func (c converter) convertList(result *node, values []ast.Node, field string) *node {
	result.kind = list
	for i, value := range values {
		child := c.convert(value, index(field, i))
		if child != nil {
			result.items = append(result.items, child)
		}
	}
	return result
}

// lineOf returns the line on which part starts, counted from 1.
func lineOf(part ast.Node) int {
	if mapping, ok := part.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		return lineOf(mapping.Values[0].Key)
	}
	if value, ok := part.(*ast.MappingValueNode); ok {
		return lineOf(value.Key)
	}
	tok := part.GetToken()
	if tok == nil || tok.Position == nil {
		return 1
	}
	return tok.Position.Line
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func index(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }
