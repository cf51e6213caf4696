// Package strictyaml decodes YAML into structs and reports all problems at once with their lines. It refuses YAML that
// is ambiguous or expensive to parse: unknown and duplicate keys, anchors, aliases, tags, merge keys, several documents
// and deep nesting.
package strictyaml

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// maxProblems limits the problems kept for one file, so that a malicious file cannot exhaust memory.
const maxProblems = 200

// Problem is one error in a file.
type Problem struct {
	// Line is counted from 1; 0 if the problem has no position in the text.
	Line int
	// Field is the path of the field, for instance services[2].size.slots.
	Field   string
	Message string
}

// String formats the problem without the file's name.
func (p Problem) String() string {
	text := p.Message
	if p.Field != "" {
		text = p.Field + ": " + text
	}
	if p.Line > 0 {
		text = fmt.Sprintf("line %d: %s", p.Line, text)
	}
	return text
}

// Error holds all problems of one file, in the order of their lines.
type Error struct {
	// File is the name of the source, empty if it has none.
	File     string
	Problems []Problem
}

// Error implements error with one line for each problem.
func (e *Error) Error() string {
	name := e.File
	if name == "" {
		name = "document"
	}
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, name+": "+p.String())
	}
	return strings.Join(lines, "\n")
}

// File is a decoded file: the lines of its fields and the problems found so far.
type File struct {
	lines map[string]int
	// scalars holds the positions of scalar values, flow the fields of mappings written as {key: value}.
	scalars  map[string]position
	flow     map[string]bool
	problems []Problem
}

// Decode parses data into the struct that out points to. The fields of out are named by their yaml tags.
// Fields with problems keep their zero value. Semantic checks add further problems with Add.
func Decode(data []byte, maxBytes int, out any) *File {
	f := &File{lines: map[string]int{}, scalars: map[string]position{}, flow: map[string]bool{}}
	if len(data) > maxBytes {
		f.addAt(0, "", "has %d bytes, allowed are %d", len(data), maxBytes)
		return f
	}
	if !utf8.Valid(data) {
		f.addAt(0, "", "is not valid UTF-8")
		return f
	}
	// The library's lexer counts a CRLF after a comment as two lines.
	text := strings.ReplaceAll(string(data), "\r\n", "\n")
	if strings.ContainsRune(text, '\r') {
		f.addAt(0, "", "has a carriage return inside a line")
		return f
	}
	root := f.parse(text)
	if root == nil {
		if len(f.problems) == 0 {
			f.addAt(0, "", "is empty")
		}
		return f
	}
	f.decode(root, "", reflect.ValueOf(out).Elem())
	return f
}

// Add adds a problem of a field. The line is that of the field or of its nearest enclosing field.
func (f *File) Add(field, format string, args ...any) {
	f.addAt(f.Line(field), field, format, args...)
}

// Has reports whether the file contains the field.
func (f *File) Has(field string) bool {
	_, ok := f.lines[field]
	return ok
}

// Line returns the line of a field or of its nearest enclosing field, 0 if there is none.
func (f *File) Line(field string) int {
	for field != "" {
		if line, ok := f.lines[field]; ok {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 0
}

// OK reports whether no problem was found so far.
func (f *File) OK() bool { return len(f.problems) == 0 }

// Problems returns the problems found so far in the order in which they were added.
func (f *File) Problems() []Problem { return f.problems }

// Err returns an *Error with all problems, or nil.
func (f *File) Err(name string) error {
	if len(f.problems) == 0 {
		return nil
	}
	sort.SliceStable(f.problems, func(i, j int) bool { return f.problems[i].Line < f.problems[j].Line })
	return &Error{File: name, Problems: f.problems}
}

// addAt adds a problem in a line, unless there are maxProblems already.
func (f *File) addAt(line int, field, format string, args ...any) {
	if len(f.problems) < maxProblems {
		f.problems = append(f.problems, Problem{Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
	}
}

// parse returns the root node. It returns nil if the text is empty or invalid, and adds a problem in the latter case.
// It recovers from panics of the YAML library, because every daemon parses every published document and one panic would
// stop all of them.
func (f *File) parse(text string) (root ast.Node) {
	defer func() {
		if recover() != nil {
			root = nil
			f.addAt(0, "", "the YAML parser failed on this text")
		}
	}()
	tokens := lexer.Tokenize(text)
	if !f.checkTokens(tokens) {
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		f.addSyntaxError(err)
		return nil
	}
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if root != nil {
			f.addAt(lineOf(doc.Body), "", "has more than one YAML document")
			return nil
		}
		root = doc.Body
	}
	return root
}

func (f *File) addSyntaxError(err error) {
	if e, ok := err.(yaml.Error); ok && e.GetToken() != nil {
		f.addAt(e.GetToken().Position.Line, "", "YAML syntax: %s", e.GetMessage())
		return
	}
	f.addAt(0, "", "YAML syntax: %v", err)
}

func lineOf(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}
