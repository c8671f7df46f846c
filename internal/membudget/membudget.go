// Package membudget limits the memory that many peers together make a process hold. Each peer has an account, and may
// hold as much as is free, so that no peer takes what the others need (dynamic thresholds: Choudhury and Hahne, 1998).
package membudget

import "sync"

// Budget is an amount of memory that accounts share. It is safe for concurrent use, and so are its accounts.
type Budget struct {
	mu    sync.Mutex
	limit int // bytes
	held  int // bytes, by all accounts
}

// New returns a budget of a number of bytes.
func New(limit int) *Budget { return &Budget{limit: limit} }

// Held returns the number of bytes held by all accounts.
func (b *Budget) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Account is what one peer holds. Its zero value has no limit.
type Account struct {
	budget *Budget
	free   int // bytes that are not counted
	used   int
}

// Account returns an account; its first free bytes are not counted.
func (b *Budget) Account(free int) Account { return Account{budget: b, free: free} }

// Set changes the number of bytes that the account holds. It returns false, and changes nothing, if that is more than
// the account may hold. It always succeeds if the number does not grow.
func (a *Account) Set(used int) bool {
	if a.budget == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.set(used)
}

// Add changes the number of bytes that the account holds by a difference; see Set.
func (a *Account) Add(difference int) bool {
	if a.budget == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.set(a.used + difference)
}

// set is Set for a caller that holds the budget's lock.
func (a *Account) set(used int) bool {
	counted, countedBefore := max(used-a.free, 0), max(a.used-a.free, 0)
	byOthers := a.budget.held - countedBefore
	if counted > countedBefore && counted > a.budget.limit-byOthers-counted {
		return false
	}
	a.budget.held = byOthers + counted
	a.used = used
	return true
}
