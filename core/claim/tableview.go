package claim

import (
	"bytes"
	"slices"
)

// Limits of one page of claims, which together keep it below the peer frame limit of 1 MiB.
const (
	pageEntries = 1024
	pageBytes   = 512 << 10
)

// ApplyView makes a view from the log the current one. Older views are ignored.
func (t *Table) ApplyView(v View) {
	if v.Number <= t.view.Number {
		return
	}
	t.view = v
	for number := range t.installed {
		if number < v.Number {
			delete(t.installed, number)
		}
	}
	if t.handoverView < v.Number {
		t.handover, t.handoverView = nil, 0
	}
}

// Seal stops granting in a view and in all earlier ones, and returns a page of the claims. The pages include every
// grant that was given in the view.
func (t *Table) Seal(now ClockReading, r SealRequest) SealResponse {
	t.DropExpired(now)
	resp := SealResponse{View: t.view.Number}
	if t.view.Number > r.View || !t.installed[r.View] || r.From < 0 {
		return resp
	}
	t.sealed = max(t.sealed, r.View)
	if t.handoverView != r.View {
		t.handover, t.handoverView = t.sortedKeys(), r.View
	}
	resp.Sealed = true
	resp.Entries, resp.Next = t.page(r.From)
	resp.FloorUnixMs = max(t.floor, t.view.FloorUnixMs-1)
	return resp
}

// page returns the claims to hand over from an index on, and the index after them, 0 at the end. A missing entry
// has expired, which raised the floor.
func (t *Table) page(from int) (entries []Entry, next int) {
	size := 0
	for i := from; i < len(t.handover); i++ {
		e := t.entries[t.handover[i]]
		if e == nil || e.State == StateWithdrawn {
			continue
		}
		size += int(e.bytes())
		if len(entries) == pageEntries || size > pageBytes {
			return entries, i
		}
		entries = append(entries, *e)
	}
	return entries, 0
}

func (t *Table) sortedKeys() []Key {
	keys := make([]Key, 0, len(t.entries))
	for k := range t.entries {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
	return keys
}

// Install adds claims that the member must hold before it grants in a proposed view. Extra claims are safe: they
// only cause more refusals.
func (t *Table) Install(now ClockReading, r InstallRequest) InstallResponse {
	t.DropExpired(now)
	for _, e := range r.Entries {
		if !t.installEntry(now, e) {
			return InstallResponse{}
		}
	}
	t.floor = max(t.floor, r.FloorUnixMs)
	if r.Last && r.View > t.view.Number {
		t.installed[r.View] = true
	}
	return InstallResponse{Installed: true}
}

// installEntry reports whether there was capacity for the entry.
func (t *Table) installEntry(now ClockReading, e Entry) bool {
	held := t.entries[e.Key]
	if held != nil {
		e = merge(*held, e)
	} else if len(t.entries) >= t.limits.MaxClaims {
		return false
	}
	if len(e.Answer) > MaxAnswerBytes || t.bytes+e.bytes() > t.limits.MaxBytes {
		e.Answer = nil
	}
	t.put(e)
	return true
}
