package rate

import (
	"slices"
	"strings"
)

// HeldTokens is what a node holds for one organisation at the moment: leased tokens and waiting requests.
type HeldTokens struct {
	Organisation string
	// Tokens counts the leased tokens that are not spent yet.
	Tokens uint64
	// Waiting is the number of requests that wait for a token.
	Waiting int
}

// HeldTokens lists the organisations with leased tokens or waiting requests, by name.
func (c *Client) HeldTokens() []HeldTokens {
	l := c.lessee.Load()
	now := l.nanos(c.clock.Now())
	var all []HeldTokens
	for i := range l.stripes {
		for name, a := range *l.stripes[i].Load() {
			h := HeldTokens{Organisation: name, Tokens: a.tokens(now), Waiting: int(a.queued.Load())}
			if h.Tokens > 0 || h.Waiting > 0 {
				all = append(all, h)
			}
		}
	}
	slices.SortFunc(all, func(a, b HeldTokens) int { return strings.Compare(a.Organisation, b.Organisation) })
	return all
}

// tokens returns the tokens of the current lease that may still be spent.
func (a *account) tokens(now int64) uint64 {
	h := a.lease.Load()
	if h == nil || now >= h.validUntil.Load() {
		return 0
	}
	return uint64(max(0, h.available.Load()))
}
