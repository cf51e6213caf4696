package strictyaml

import "github.com/goccy/go-yaml/token"

// The parser recurses for each level, and its time grows with the square of the entries of one mapping: a
// mapping of 40,000 entries took 2.3 s, and every daemon parses every published document.
const (
	maxFlowDepth      = 16
	maxEntriesPerLine = 8
	maxKeys           = 2000
)

var forbidden = map[token.Type]string{
	token.AnchorType:     "anchors (&)",
	token.AliasType:      "aliases (*)",
	token.TagType:        "tags (!)",
	token.MergeKeyType:   "merge keys (<<)",
	token.MappingKeyType: "explicit keys (?)",
	token.DirectiveType:  "directives (%)",
}

// screen refuses unsupported, deeply nested and very wide YAML before the parser sees it.
func (f *File) screen(tokens token.Tokens) bool {
	s := screener{block: map[int]int{}}
	for _, t := range tokens {
		if what, ok := forbidden[t.Type]; ok {
			f.addAt(t.Position.Line, "", "%s are not allowed", what)
			return false
		}
		s.see(t)
		if s.depth > maxFlowDepth || s.entries > maxEntriesPerLine {
			f.addAt(t.Position.Line, "", "is nested too deeply")
			return false
		}
		if s.widest > maxKeys {
			f.addAt(t.Position.Line, "", "has more than %d keys at one level", maxKeys)
			return false
		}
	}
	return true
}

// screener follows the nesting of tokens.
type screener struct {
	// depth counts open flow collections, flow the keys of each.
	depth int
	flow  [maxFlowDepth + 2]int
	// block counts the keys of the open block mapping that starts in each column.
	block  map[int]int
	widest int
	// entries counts block entries and keys in line.
	line, entries int
}

func (s *screener) see(t *token.Token) {
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		s.depth = min(s.depth+1, maxFlowDepth+1)
		s.flow[s.depth] = 0
	case token.SequenceEndType, token.MappingEndType:
		s.depth = max(s.depth-1, 0)
	case token.SequenceEntryType, token.MappingValueType:
		if s.depth > 0 {
			s.flow[s.depth]++
			s.widest = max(s.widest, s.flow[s.depth])
			return
		}
		s.blockEntry(t)
	}
}

func (s *screener) blockEntry(t *token.Token) {
	if t.Position.Line != s.line {
		s.line, s.entries = t.Position.Line, 0
	}
	s.entries++
	column := t.Position.Column
	if t.Type == token.MappingValueType && t.Prev != nil {
		column = t.Prev.Position.Column
	}
	for c := range s.block {
		if c > column {
			delete(s.block, c)
		}
	}
	if t.Type == token.MappingValueType {
		s.block[column]++
		s.widest = max(s.widest, s.block[column])
	}
}
