package config

import (
	"sync"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Compiler checks and compiles successive configurations and decodes only the documents
// that were not in the previous one. Documents are identified by their pointers, so they must
// not be modified after they were passed in. The zero value is ready to use, also concurrently.
type Compiler struct {
	mu      sync.Mutex
	decoded map[*apiv1.Resource]decodedDocument
}

// decodedDocument is the result of decoding one document.
type decodedDocument struct {
	spec     spec
	problems Problems
}

// Check validates a whole configuration like the function Check.
func (c *Compiler) Check(resources []*apiv1.Resource) Problems {
	docs, problems := c.collect(resources)
	return append(problems, docs.check()...).sorted()
}

// Compile builds the snapshot of a configuration like the function Compile.
func (c *Compiler) Compile(revision uint64, resources []*apiv1.Resource) (*Snapshot, error) {
	docs, problems := c.collect(resources)
	problems = append(problems, docs.check()...)
	if err := problems.sorted().Err(); err != nil {
		return nil, err
	}
	return newSnapshot(revision, docs), nil
}

// collect decodes the documents and caches the results of exactly these for the next call.
func (c *Compiler) collect(resources []*apiv1.Resource) (*documents, Problems) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make(map[*apiv1.Resource]decodedDocument, len(resources))
	docs, problems := collect(resources, func(r *apiv1.Resource) (spec, Problems) {
		d, found := c.decoded[r]
		if !found {
			d.spec, d.problems = decodeResource(r)
		}
		kept[r] = d
		return d.spec, d.problems
	})
	c.decoded = kept
	return docs, problems
}
