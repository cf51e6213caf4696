package strictyaml

import "github.com/goccy/go-yaml/token"

// Limits on the nesting and width of a document. The parser recurses for each level, and its time grows with the square
// of the entries of one mapping: 40,000 entries take 2.3 s, and every daemon parses every published document.
const (
	maxFlowDepth      = 16
	maxEntriesPerLine = 8
	maxKeys           = 2000
)

var forbiddenTokens = map[token.Type]string{
	token.AnchorType:     "anchors (&)",
	token.AliasType:      "aliases (*)",
	token.TagType:        "tags (!)",
	token.MergeKeyType:   "merge keys (<<)",
	token.MappingKeyType: "explicit keys (?)",
	token.DirectiveType:  "directives (%)",
}

// checkTokens refuses unsupported, deeply nested and very wide YAML before it is parsed. It returns false after adding
// a problem.
func (f *File) checkTokens(tokens token.Tokens) bool {
	s := nestingTracker{block: map[int]int{}}
	for _, t := range tokens {
		if name, ok := forbiddenTokens[t.Type]; ok {
			f.addAt(t.Position.Line, "", "%s are not allowed", name)
			return false
		}
		s.track(t)
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

// nestingTracker tracks the nesting and width of a sequence of tokens.
type nestingTracker struct {
	// depth is the number of open flow collections, flow the number of keys of each.
	depth int
	flow  [maxFlowDepth + 2]int
	// block is the number of keys of the open block mapping that starts in each column.
	block  map[int]int
	widest int
	// entries is the number of block entries and keys in line.
	line, entries int
}

func (s *nestingTracker) track(t *token.Token) {
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
		s.trackBlockEntry(t)
	}
}

func (s *nestingTracker) trackBlockEntry(t *token.Token) {
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
