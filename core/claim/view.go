package claim

import (
	"slices"

	"waxwingslip.example/core/record"
)

// View is the set of members that grant claims, as the zone's log has it. The zero View has no members.
type View struct {
	// Number rises by one with each change.
	Number  int64
	Members []string
	// FloorUnixMs is the time before which keys are refused, 0 unless the view is fresh.
	FloorUnixMs int64
	// Fresh is true if the view could not copy the claims of the previous one.
	Fresh bool
}

// FromRecord returns the view that a record of the zone's log sets.
func FromRecord(r record.ClaimView) View {
	return View{Number: r.Number, Members: slices.Clone(r.Members), FloorUnixMs: r.FloorUnixMs, Fresh: r.Fresh}
}

// Record returns the record that proposes the view.
func (v View) Record() *record.ClaimView {
	return &record.ClaimView{Number: v.Number, Members: v.Members, FloorUnixMs: v.FloorUnixMs, Fresh: v.Fresh}
}

// Majority returns the number of grants that make a claim.
func (v View) Majority() int { return len(v.Members)/2 + 1 }

// SealCount returns the least number of members that meets every majority.
func (v View) SealCount() int { return len(v.Members) - v.Majority() + 1 }

// Has reports whether member is in the view.
func (v View) Has(member string) bool { return slices.Contains(v.Members, member) }
