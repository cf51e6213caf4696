package strictyaml

import (
	"bytes"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// position is the position of a scalar in the text.
type position struct {
	line, column int
	// text is the scalar as written, quotes included.
	text string
}

// errUnsupportedLayout means that the text around a field has an unsupported form. The caller verifies every edit by
// decoding the result, so that a wrong edit is always detected.
var errUnsupportedLayout = errors.New("the layout of this field cannot be edited")

// ReplaceScalar returns data with the scalar value of a field replaced. data is the text that was decoded.
func (f *File) ReplaceScalar(data []byte, field, value string) ([]byte, error) {
	start, p, err := f.findScalar(data, field)
	if err != nil {
		return nil, err
	}
	return splice(data, start, start+len(p.text), value), nil
}

// InsertAfter returns data with a key added to the mapping that contains field, after field's value.
func (f *File) InsertAfter(data []byte, field, key, value string) ([]byte, error) {
	start, p, err := f.findScalar(data, field)
	if err != nil {
		return nil, err
	}
	if f.flow[field] {
		end := start + len(p.text)
		return splice(data, end, end, ", "+key+": "+value), nil
	}
	// A new line takes the column of the existing key, which may follow "- ".
	name := field[strings.LastIndexByte(field, '.')+1:]
	lineStart := bytes.LastIndexByte(data[:start], '\n') + 1
	indent := bytes.Index(data[lineStart:start], []byte(name))
	if indent < 0 {
		return nil, errors.Wrap(errUnsupportedLayout, field)
	}
	end := bytes.IndexByte(data[start:], '\n')
	if end < 0 {
		return append(bytes.Clone(data), "\n"+strings.Repeat(" ", indent)+key+": "+value+"\n"...), nil
	}
	at := start + end + 1
	newline := "\n"
	if end > 0 && data[at-2] == '\r' {
		newline = "\r\n"
	}
	return splice(data, at, at, strings.Repeat(" ", indent)+key+": "+value+newline), nil
}

// findScalar returns the byte offset of a field's scalar and its position.
func (f *File) findScalar(data []byte, field string) (int, position, error) {
	p, ok := f.scalars[field]
	if !ok || p.text == "" {
		return 0, p, errors.Wrap(errUnsupportedLayout, field)
	}
	start := 0
	for range p.line - 1 {
		next := bytes.IndexByte(data[start:], '\n')
		if next < 0 {
			return 0, p, errors.Wrap(errUnsupportedLayout, field)
		}
		start += next + 1
	}
	for range p.column - 1 {
		_, size := utf8.DecodeRune(data[start:])
		start += size
	}
	if !bytes.HasPrefix(data[start:], []byte(p.text)) {
		return 0, p, errors.Wrap(errUnsupportedLayout, field)
	}
	return start, p, nil
}

func splice(data []byte, from, to int, text string) []byte {
	out := make([]byte, 0, len(data)+len(text))
	out = append(out, data[:from]...)
	out = append(out, text...)
	return append(out, data[to:]...)
}
