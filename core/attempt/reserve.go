package attempt

import (
	"math/rand/v2"
	"sync"
)

// Token identifies one attempt of a request that is kept back.
type Token uint64

// Reserve holds the attempts that this host keeps back of the requests that it relays to other
// hosts. Each can be taken once: by the other host, which asks before it sends the request to one
// target more, or by this one, once it has given the other one up. So the two hosts together never
// use more attempts than there are, whatever becomes of the other host or of the link to it.
//
// It answers the load pattern of slow targets behind hosts that fall silent: requests in progress
// there are sent again elsewhere, while the silent host may go on with them. It is safe for
// concurrent use.
type Reserve struct {
	mu   sync.Mutex
	kept map[Token]bool
}

// NewReserve returns an empty reserve.
func NewReserve() *Reserve { return &Reserve{kept: make(map[Token]bool)} }

// KeptBack returns how many of the attempts that are left to a request after a number of sends the
// relaying host keeps back. Requests that are not idempotent are never sent again once the other
// host may have sent them.
func KeptBack(req Request, sends int) int {
	if !req.Idempotent || req.MaxAttempts-sends < 2 {
		return 0
	}
	return 1
}

// Keep keeps an attempt back until it is taken.
func (r *Reserve) Keep() Token {
	r.mu.Lock()
	defer r.mu.Unlock()
	token := Token(rand.Uint64())
	r.kept[token] = true
	return token
}

// Take takes an attempt. It returns false if it has been taken before.
func (r *Reserve) Take(token Token) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.kept[token]
	delete(r.kept, token)
	return kept
}

// Kept returns the number of attempts that are kept back.
func (r *Reserve) Kept() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.kept)
}
