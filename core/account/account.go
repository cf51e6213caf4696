// Package account holds the client accounts of one version of the configuration: who may call which queue, and how much
// each account may have running.
package account

import "waxwingslip.example/core/resource"

// Account is a client account.
type Account struct {
	Name string
	// Weight is the account's share of the capacity while all of it is in use, relative to that of other accounts. It is also
	// the number of jobs a second that the account usually sends.
	Weight float64
	// Limit is the most that the account may have running across all workers. Components that are 0 have no limit.
	Limit resource.Vector
}

// Set is the accounts of one version of the configuration. It does not change.
type Set struct {
	byName map[string]*Account
}

// Account returns an account by its name, or nil. It may be called on a nil set.
func (s *Set) Account(name string) *Account {
	if s == nil {
		return nil
	}
	return s.byName[name]
}
