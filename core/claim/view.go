package claim

import (
	"slices"

	"waxwingslip.example/core/record"
)

// View is the set of members that grant claims, as recorded in the zone's log. The zero View has no members.
type View struct {
	// Number increases by one with each change.
	Number  int64
	Members []string
	// FloorUnixMs is the time before which keys are refused, 0 unless the view is fresh.
	FloorUnixMs int64
	// Fresh is true if not all claims of the previous view could be copied.
	Fresh bool
}

// FromRecord returns the view that a record in the zone's log sets.
func FromRecord(r record.ClaimView) View {
	return View{Number: r.Number, Members: slices.Clone(r.Members), FloorUnixMs: r.FloorUnixMs, Fresh: r.Fresh}
}

// Record returns the record that proposes the view.
func (v View) Record() *record.ClaimView {
	return &record.ClaimView{Number: v.Number, Members: v.Members, FloorUnixMs: v.FloorUnixMs, Fresh: v.Fresh}
}

// Majority returns the number of grants that a claim requires.
func (v View) Majority() int { return len(v.Members)/2 + 1 }

// SealCount returns the smallest number of members that intersects every majority.
func (v View) SealCount() int { return len(v.Members) - v.Majority() + 1 }

// Has reports whether member is in the view.
func (v View) Has(member string) bool { return slices.Contains(v.Members, member) }
