package config

import (
	"sync"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Compiler checks and compiles successive configurations and decodes only the documents
// that the last one did not hold. Documents are told apart by their pointers, so they must
// not be modified once they were passed in. The zero value is ready; it is safe for concurrent use.
type Compiler struct {
	mu      sync.Mutex
	decoded map[*apiv1.Resource]decodedDocument
}

// decodedDocument is the result of decoding one document.
type decodedDocument struct {
	spec   spec
	faults Problems
}

// Check is the function Check.
func (c *Compiler) Check(resources []*apiv1.Resource) Problems {
	all, problems := c.collect(resources)
	return append(problems, all.check()...).sorted()
}

// Compile is the function Compile.
func (c *Compiler) Compile(revision uint64, resources []*apiv1.Resource) (*Snapshot, error) {
	all, problems := c.collect(resources)
	problems = append(problems, all.check()...)
	if err := problems.sorted().Err(); err != nil {
		return nil, err
	}
	return newSnapshot(revision, all), nil
}

// collect decodes the documents and keeps exactly these for the next time.
func (c *Compiler) collect(resources []*apiv1.Resource) (*documents, Problems) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make(map[*apiv1.Resource]decodedDocument, len(resources))
	all, problems := collect(resources, func(r *apiv1.Resource) (spec, Problems) {
		d, found := c.decoded[r]
		if !found {
			d.spec, d.faults = decodeResource(r)
		}
		kept[r] = d
		return d.spec, d.faults
	})
	c.decoded = kept
	return all, problems
}
