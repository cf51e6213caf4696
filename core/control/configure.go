package control

import (
	"bytes"
	"maps"
	"slices"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// applyConfigure accepts a document that is based on the current one. Versions are offsets, so they only increase.
func (s *State) applyConfigure(b *record.Configure) Verdict {
	switch {
	case b.Base != s.version:
		return rejected("conflict: the document is based on version %d, but version %d is current", b.Base, s.version)
	case len(b.Document) > environment.MaxDocumentBytes:
		return rejected("document has %d bytes, allowed are %d", len(b.Document), environment.MaxDocumentBytes)
	case len(b.Author) > MaxNameBytes:
		return rejected("author has %d bytes, allowed are %d", len(b.Author), MaxNameBytes)
	}
	doc, err := s.parse(b.Document)
	if err != nil {
		return rejected("document is invalid: %s", truncate(err.Error(), maxReasonBytes))
	}
	if s.document != nil && doc.Environment != s.document.Environment {
		return rejected("document is for environment %q, this is %q", doc.Environment, s.document.Environment)
	}
	s.version, s.author, s.documentBytes, s.document = s.offset, b.Author, bytes.Clone(b.Document), doc
	s.emit(Event{Kind: EventConfigured, Version: s.version})
	s.setQuotas()
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		s.activateWaiting(s.teams[name])
	}
	return accepted
}

// setQuotas sets the quotas from the document. A team that is no longer declared keeps its jobs but has no
// quota, so none of its waiting jobs becomes active.
func (s *State) setQuotas() {
	for _, t := range s.teams {
		t.quota = resource.Vector{}
	}
	for _, declared := range s.document.Teams {
		s.team(declared.Name).quota = declared.Quota
	}
	for name, t := range s.teams {
		if t.waiting == 0 && t.use.IsZero() && !s.hasTeam(name) {
			delete(s.teams, name)
		}
	}
}

func (s *State) hasTeam(name string) bool {
	return s.document != nil && slices.ContainsFunc(s.document.Teams, func(t environment.Team) bool { return t.Name == name })
}

func (s *State) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{}
		s.teams[name] = t
	}
	return t
}
