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

// kind is the shape of a node.
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

// node is a part of the files' content that remembers where it stands.
type node struct {
	kind   kind
	file   string
	line   int
	names  []string
	fields map[string]*node
	items  []*node
	text   string
	// plain is the type of an unquoted scalar that is not a string.
	plain ast.NodeType
}

// field returns a field of a mapping, or nil.
func (n *node) field(name string) *node {
	if n == nil {
		return nil
	}
	return n.fields[name]
}

// put sets a field of a mapping.
func (n *node) put(name string, value *node) {
	if _, ok := n.fields[name]; !ok {
		n.names = append(n.names, name)
	}
	n.fields[name] = value
}

// remove deletes a field of a mapping.
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

// reader turns one file into nodes.
type reader struct {
	file   string
	faults *faults
}

// parse reads a file's content. It returns nil when there is nothing in it
// or when it is not well-formed.
func parse(file File, faults *faults) *node {
	read := reader{file: file.Name, faults: faults}
	if text := unreadable(file.Content); text != "" {
		read.fault(1, "", text)
		return nil
	}
	parsed, err := parseYAML(file.Content)
	if err != nil {
		line, text := syntaxFault(err)
		read.fault(line, "", text)
		return nil
	}
	return read.document(parsed)
}

// unreadable says why content must not be handed to the parser.
func unreadable(content []byte) string {
	switch {
	case len(content) > MaxFileSize:
		return fmt.Sprintf("%d bytes; at most %d: split the file", len(content), MaxFileSize)
	case !utf8.Valid(content):
		return "not UTF-8 text"
	case strings.ContainsRune(string(content), '\ufeff'):
		return "holds a byte order mark; save it without one"
	case strings.ContainsRune(string(content), 0):
		return "holds a zero byte"
	case tooDeep(string(content)):
		return fmt.Sprintf("nested more than %d deep", maxDepth)
	}
	return ""
}

// tooDeep reports nesting that would make the parser recurse without need.
func tooDeep(text string) bool {
	for line := range strings.Lines(text) {
		depth := 0
		for _, char := range line {
			if strings.ContainsRune("[{-?:", char) {
				depth++
			}
		}
		if depth > maxDepth {
			return true
		}
	}
	return strings.Count(text, "[")+strings.Count(text, "{") > maxFlow
}

// parseYAML turns a panic of the parser into an error.
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

func (r reader) fault(line int, field, text string) {
	r.faults.add(r.file, line, field, text)
}

func (r reader) document(file *ast.File) *node {
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
			r.fault(lineOf(doc.Body), "", "a second document; write one document a file, without ---")
			return nil
		}
		root = r.node(doc.Body, "")
	}
	if root == nil || root.kind == mapping {
		return root
	}
	r.fault(root.line, "", "want a map with the key services, not "+root.kind.String())
	return nil
}

// node reads a part of a file, or returns nil after a fault.
func (r reader) node(part ast.Node, field string) *node {
	result := &node{file: r.file, line: lineOf(part)}
	switch part := part.(type) {
	case *ast.MappingNode:
		return r.mapping(result, part.Values, field)
	case *ast.MappingValueNode:
		return r.mapping(result, []*ast.MappingValueNode{part}, field)
	case *ast.SequenceNode:
		return r.list(result, part.Values, field)
	case *ast.StringNode:
		result.kind, result.text = scalar, part.Value
		return result
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		result.kind, result.text, result.plain = scalar, part.GetToken().Value, part.Type()
		return result
	case *ast.NullNode:
		return r.null(result, part, field)
	case *ast.AliasNode:
		r.fault(result.line, field, "aliases are not allowed; put a value that starts with * in quotes")
		return nil
	case *ast.LiteralNode:
		r.fault(result.line, field, "block text is not allowed; write the value on one line")
		return nil
	}
	r.fault(result.line, field, "anchors, tags and directives are not allowed")
	return nil
}

func (r reader) null(result *node, part *ast.NullNode, field string) *node {
	if part.Token == nil || part.Token.Type == token.ImplicitNullType || part.Token.Value == "" {
		r.fault(result.line, field, "has no value; write null to remove the key, or {} for an empty map")
		return nil
	}
	result.kind = null
	return result
}

func (r reader) mapping(result *node, values []*ast.MappingValueNode, field string) *node {
	result.kind = mapping
	result.fields = make(map[string]*node, len(values))
	for _, value := range values {
		key, ok := value.Key.(*ast.StringNode)
		if !ok {
			r.fault(lineOf(value), field, "want text as key; put a number, true, false or null in quotes")
			continue
		}
		if _, ok := result.fields[key.Value]; ok {
			r.fault(lineOf(key), join(field, key.Value), "stands twice in this file; keep one")
			continue
		}
		child := r.node(value.Value, join(field, key.Value))
		if child != nil {
			child.line = lineOf(key)
			result.put(key.Value, child)
		}
	}
	return result
}

func (r reader) list(result *node, values []ast.Node, field string) *node {
	result.kind = list
	for i, value := range values {
		child := r.node(value, index(field, i))
		if child != nil {
			result.items = append(result.items, child)
		}
	}
	return result
}

// lineOf returns the line on which part starts, from 1.
func lineOf(part ast.Node) int {
	if mapped, ok := part.(*ast.MappingNode); ok && len(mapped.Values) > 0 {
		return lineOf(mapped.Values[0].Key)
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
