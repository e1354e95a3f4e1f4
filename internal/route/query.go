package route

import "github.com/guavaford/guavaford/internal/registry"

// Query describes a call for which a target is wanted.
type Query struct {
	// Accept filters targets; nil accepts all.
	Accept func(*registry.Target) bool
	// Exclude names targets, by ID, that were tried already.
	Exclude []string
	// Route and Organisation identify the requests that share a cutoff.
	Route        string
	Organisation string
	// BodyBytes is the size of the request's body; below 0 if unknown.
	BodyBytes int64
	// Level is the shedding level of the whole request.
	Level uint32
	// warmOnly excludes cold targets.
	warmOnly bool
	// Depth is the number of calls above this one in the call tree; 0 for a caller's request. A
	// sub-call is shed at a higher level than a caller's request, since work was done for it.
	Depth int
}

// eligible reports whether a call may go to a target.
func (q *Query) eligible(now int64, e *entry, ejected bool) bool {
	if now < e.drainingUntilNs.Load() || (!ejected && now < e.ejectedUntilNs.Load()) {
		return false
	}
	if q.warmOnly && e.cold.cold(now) {
		return false
	}
	for _, id := range q.Exclude {
		if e.hasID(id) {
			return false
		}
	}
	return q.Accept == nil || q.Accept(e.target)
}

// hasID reports whether id is the ID of the target, without allocating that ID.
func (e *entry) hasID(id string) bool {
	node, name := e.target.Node, e.target.Name
	return len(id) == len(node)+1+len(name) && id[:len(node)] == node && id[len(node)+1:] == name
}
