// Package decoder reads YAML into typed values and reports every fault with its
// file, line and field.
package decoder

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Problem is one fault of a file.
type Problem struct {
	File string
	// Line counts from 1; zero is unknown.
	Line int
	// Field is a path such as "Services[1].Slots".
	Field   string
	Message string
}

// String returns the problem as "file:line: field: message".
func (p Problem) String() string {
	out := fmt.Sprintf("%s:%d: ", p.File, p.Line)
	if p.Field != "" {
		out += p.Field + ": "
	}
	return out + p.Message
}

// Problems is the error of a file with faults.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded file that remembers where its fields stand.
type Document struct {
	file     string
	lines    map[string]int
	problems Problems
}

// Decode reads data into out, a pointer to a struct. The document reports
// further faults that only a look at the values can find.
func Decode(file string, data []byte, out any) (*Document, error) {
	document := &Document{file: file, lines: make(map[string]int)}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return nil, syntaxProblem(file, err)
	}
	if len(root.Content) == 0 {
		return nil, Problems{{File: file, Line: 1, Message: "the file is empty"}}
	}
	document.walk(root.Content[0], reflect.TypeOf(out).Elem(), "")
	if err := document.Err(); err != nil {
		return nil, err
	}
	if err := root.Decode(out); err != nil {
		return nil, Problems{{File: file, Line: 1, Message: err.Error()}}
	}
	return document, nil
}

func syntaxProblem(file string, err error) Problems {
	problem := Problem{File: file, Line: 1, Message: err.Error()}
	var line int
	var rest string
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if n, _ := fmt.Sscanf(text, "line %d:", &line); n == 1 {
		_, rest, _ = strings.Cut(text, ": ")
		problem.Line, problem.Message = line, rest
	}
	return Problems{problem}
}

// Fault records a fault of the field at path.
func (d *Document) Fault(path, format string, arguments ...any) {
	d.problems = append(d.problems, Problem{
		File: d.file, Line: d.line(path), Field: path, Message: fmt.Sprintf(format, arguments...),
	})
}

// line returns the line of the field, or of the nearest field around it.
func (d *Document) line(path string) int {
	for path != "" {
		if line, found := d.lines[path]; found {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return max(d.lines[""], 1)
}

// Err returns the faults, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems
}

// legacyUnmarshaler is what leaf types of the root package implement, which
// does not import a YAML library.
type legacyUnmarshaler interface {
	UnmarshalYAML(unmarshal func(any) error) error
}

var leafType = reflect.TypeFor[legacyUnmarshaler]()

func (d *Document) walk(node *yaml.Node, want reflect.Type, path string) {
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	d.lines[path] = node.Line
	switch {
	case reflect.PointerTo(want).Implements(leafType):
		d.leaf(node, want, path)
	case want.Kind() == reflect.Struct:
		d.mapping(node, want, path)
	case want.Kind() == reflect.Slice:
		d.sequence(node, want, path)
	default:
		d.leaf(node, want, path)
	}
}

func (d *Document) leaf(node *yaml.Node, want reflect.Type, path string) {
	err := node.Decode(reflect.New(want).Interface())
	if err == nil {
		return
	}
	var mistyped *yaml.TypeError
	if errors.As(err, &mistyped) {
		d.Fault(path, "%q is no %s", node.Value, describe(want))
		return
	}
	d.Fault(path, "%s", err)
}

// describe names a type for people.
func describe(want reflect.Type) string {
	switch want.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "number"
	case reflect.Int, reflect.Int32, reflect.Int64, reflect.Uint64:
		return "whole number"
	default:
		return want.String()
	}
}

func (d *Document) sequence(node *yaml.Node, want reflect.Type, path string) {
	if node.Kind != yaml.SequenceNode {
		d.Fault(path, "must be a list")
		return
	}
	for i, item := range node.Content {
		d.walk(item, want.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *Document) mapping(node *yaml.Node, want reflect.Type, path string) {
	if node.Kind != yaml.MappingNode {
		d.Fault(path, "must be fields with values: %s", strings.Join(names(want), ", "))
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		field := join(path, key.Value)
		d.lines[field] = key.Line
		inner, known := fieldType(want, key.Value)
		switch {
		case !known:
			d.Fault(field, "unknown field; the fields here are %s", strings.Join(names(want), ", "))
		case seen[key.Value]:
			d.Fault(field, "given twice")
		default:
			d.walk(value, inner, field)
		}
		seen[key.Value] = true
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldType(want reflect.Type, name string) (reflect.Type, bool) {
	for _, field := range reflect.VisibleFields(want) {
		if fieldName(field) == name {
			return field.Type, true
		}
	}
	return nil, false
}

func names(want reflect.Type) []string {
	var out []string
	for _, field := range reflect.VisibleFields(want) {
		out = append(out, fieldName(field))
	}
	return out
}

func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// DecodeKnown reads data into out, a pointer to a struct, and ignores the fields
// that out doesn't have: another side may add some. An error names line and field.
func DecodeKnown(data []byte, out any) error {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return err
	}
	if len(document.Content) != 1 || document.Content[0].Kind != yaml.MappingNode {
		return errors.New("must be a table of fields")
	}
	fields := document.Content[0].Content
	for at := 0; at+1 < len(fields); at += 2 {
		one := yaml.Node{Kind: yaml.MappingNode, Content: fields[at : at+2]}
		if err := one.Decode(out); err != nil {
			return fmt.Errorf("line %d: %s: %w", fields[at].Line, fields[at].Value, err)
		}
	}
	return nil
}
