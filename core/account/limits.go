package account

import "waxwingslip.example/core/resource"

// AnyLimit reports whether any account has a limit. It may be called on a nil set.
func (s *Set) AnyLimit() bool {
	if s == nil {
		return false
	}
	for _, a := range s.byName {
		if a.Limit != (resource.Vector{}) {
			return true
		}
	}
	return false
}
