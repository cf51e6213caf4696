package claim

import (
	"bytes"
	"slices"

	"github.com/pkg/errors"
)

// Change moves a zone from one view to the next: seal, install, record. It belongs to one proposer, which discards
// it when another proposer's record comes first in the log.
type Change struct {
	old     View
	next    View
	sealed  map[string]bool
	stopped map[string]bool
	merged  map[Key]Entry
	floor   int64

	prepared  bool
	installed map[string]bool
}

// NewChange starts a change from old to a view of members.
func NewChange(old View, members []string) (*Change, error) {
	members = slices.Compact(slices.Sorted(slices.Values(members)))
	if len(members) == 0 {
		return nil, errors.Errorf("claim view %d: no members", old.Number+1)
	}
	return &Change{old: old, next: View{Number: old.Number + 1, Members: members}, sealed: map[string]bool{},
		stopped: map[string]bool{}, merged: map[Key]Entry{}, installed: map[string]bool{}}, nil
}

// Sealed adds a page of claims from a member of the old view. Pages of one member must be added in order; the
// last one has Next 0. It returns an error if the member has read a newer view, which ends the change.
func (c *Change) Sealed(member string, resp SealResponse) error {
	if !resp.Sealed {
		if resp.View > c.old.Number {
			return errors.Errorf("claim view %d: member %s has read view %d", c.next.Number, member, resp.View)
		}
		return nil
	}
	c.floor = max(c.floor, resp.FloorUnixMs)
	for _, e := range resp.Entries {
		if held, ok := c.merged[e.Key]; ok {
			e = merge(held, e)
		}
		c.merged[e.Key] = e
	}
	if resp.Next == 0 && c.old.Has(member) {
		c.sealed[member] = true
	}
	return nil
}

// Stopped records that a member of the old view has left gracefully, or that its authority to grant has expired.
func (c *Change) Stopped(member string) {
	if c.old.Has(member) {
		c.stopped[member] = true
	}
}

// Ready reports whether the old view can no longer form a majority, and whether the next view must be fresh
// because claims of the old one may be missing from the pages.
func (c *Change) Ready() (ready, fresh bool) {
	if len(c.sealed) >= c.old.SealCount() {
		return true, false
	}
	inactive := len(c.sealed)
	for member := range c.stopped {
		if !c.sealed[member] {
			inactive++
		}
	}
	return inactive >= c.old.SealCount(), true
}

// Prepare ends the sealing and returns the pages that each member of the next view must install, in order.
func (c *Change) Prepare(now ClockReading) ([]InstallRequest, error) {
	ready, fresh := c.Ready()
	if !ready {
		return nil, errors.Errorf("claim view %d: %d of %d members sealed", c.next.Number, len(c.sealed),
			c.old.SealCount())
	}
	c.next.Fresh, c.next.FloorUnixMs = fresh, c.old.FloorUnixMs
	if fresh {
		// No claim of the old view has a later time, since members refuse keys that are further ahead.
		limit := now.UnixMs + (MaxBlockAhead + ClockSkew).Milliseconds()
		c.next.FloorUnixMs = max(c.next.FloorUnixMs, limit)
	}
	c.prepared = true
	return c.pages(), nil
}

func (c *Change) pages() []InstallRequest {
	entries := make([]Entry, 0, len(c.merged))
	for _, e := range c.merged {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	var pages []InstallRequest
	page, size := InstallRequest{View: c.next.Number, FloorUnixMs: c.floor}, 0
	for _, e := range entries {
		if len(page.Entries) == pageEntries || size+int(e.bytes()) > pageBytes {
			pages = append(pages, page)
			page, size = InstallRequest{View: c.next.Number, FloorUnixMs: c.floor}, 0
		}
		page.Entries = append(page.Entries, e)
		size += int(e.bytes())
	}
	page.Last = true
	return append(pages, page)
}

// Members returns the members of the next view.
func (c *Change) Members() []string { return c.next.Members }

// Installed records that a member of the next view has installed every page of Prepare.
func (c *Change) Installed(member string) { c.installed[member] = true }

// View returns the view to append to the log, or an error until all its members have installed the claims.
func (c *Change) View() (View, error) {
	if !c.prepared {
		return View{}, errors.Errorf("claim view %d: not prepared", c.next.Number)
	}
	for _, member := range c.next.Members {
		if !c.installed[member] {
			return View{}, errors.Errorf("claim view %d: member %s has not installed the claims", c.next.Number, member)
		}
	}
	return c.next, nil
}
