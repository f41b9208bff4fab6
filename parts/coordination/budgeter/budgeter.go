// Package budgeter shares a limited amount of memory among many holders, such as the answers and bodies of requests.
package budgeter

import (
	"context"
	"fmt"
	"slices"
	"sync"
)

// NoRoomError reports memory that did not become free in time.
type NoRoomError struct {
	Bytes int64
}

func (e *NoRoomError) Error() string {
	return fmt.Sprintf("budgeter: unable to reserve %d bytes: the memory for all requests is in use", e.Bytes)
}

// Budget is a limit in bytes that several accounts share. It is safe for concurrent use.
type Budget struct {
	limit   int64
	mu      sync.Mutex
	used    int64
	waiting []*waiter
	// overdrawn is the one account that may exceed the limit. Without it, holders that wait for more could wait for each other.
	overdrawn *Account
}

// waiter is a Take that waits; done is closed once it has its bytes.
type waiter struct {
	account *Account
	bytes   int64
	done    chan struct{}
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes of all open accounts.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// HasRoom reports whether an account could take n bytes now without waiting.
func (b *Budget) HasRoom(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting) == 0 && b.used+n <= b.limit
}

// Open returns an empty account, which must be closed.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// Account is what one holder uses of a Budget.
type Account struct {
	budget   *Budget
	bytes    int64
	isClosed bool
}

// TryTake adds n bytes to the account and returns true, unless there is no room for them.
func (a *Account) TryTake(n int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryTake(a, n)
}

// tryTake adds n bytes to a. Earlier waiters come first. The caller holds mu.
func (b *Budget) tryTake(a *Account, n int64) bool {
	if b.overdrawn != a && (len(b.waiting) > 0 || b.used+n > b.limit) {
		return false
	}
	b.add(a, n)
	return true
}

// add adds n bytes to a, unless a was closed. The caller holds mu.
func (b *Budget) add(a *Account, n int64) {
	if !a.isClosed {
		a.bytes += n
		b.used += n
	}
}

// Take adds n bytes to the account and waits for room until ctx is done. One account at a time exceeds the limit instead of waiting,
// so the caller must bound the size of an account. The error is a *NoRoomError.
func (a *Account) Take(ctx context.Context, n int64) error {
	b := a.budget
	b.mu.Lock()
	if b.tryTake(a, n) {
		b.mu.Unlock()
		return nil
	}
	w := &waiter{account: a, bytes: n, done: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.admit()
	b.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		b.admit()
		return &NoRoomError{Bytes: n}
	}
	return nil // the bytes came at the same time
}

// admit gives waiters their bytes in their order, as far as there is room. The caller holds mu.
func (b *Budget) admit() {
	for len(b.waiting) > 0 {
		w := b.waiting[0]
		if b.used+w.bytes > b.limit {
			if b.overdrawn != nil {
				return
			}
			b.overdrawn = w.account
		}
		b.add(w.account, w.bytes)
		close(w.done)
		b.waiting = b.waiting[1:]
	}
}

// Close gives back all bytes. It may be called again, and at any time: what is taken afterwards does not count.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= a.bytes
	a.bytes, a.isClosed = 0, true
	if b.overdrawn == a {
		b.overdrawn = nil
	}
	b.admit()
}
