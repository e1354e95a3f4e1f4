package operator

import (
	"encoding/json"
	"regexp"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Paths of the API.
const (
	pathConfiguration = "/v1/configuration"
	pathKeys          = "/v1/keys"
	pathChanges       = "/v1/changes"
	pathStatus        = "/v1/status"
	pathReplicas      = "/v1/replicas/"
	pathQuarantine    = "/v1/quarantine"
	pathMetrics       = "/debug/vars"
)

// MaxBodyBytes bounds the body of a request, and the size of a document file on the command line.
const MaxBodyBytes = 8 << 20

// Document is one configuration document.
type Document struct {
	Kind   string            `json:"kind"`
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	Spec   json.RawMessage   `json:"spec,omitempty"`
	// Revision is the revision that last changed the document; it is ignored in changes.
	Revision uint64 `json:"revision,omitempty"`
}

// Key is an issued key without its hash.
type Key struct {
	Number       uint64 `json:"number"`
	Organisation string `json:"organisation"`
	Withdrawn    bool   `json:"withdrawn"`
	Revision     uint64 `json:"revision"`
}

// paramOrganisation is the query parameter that limits a list of keys to one organisation.
const paramOrganisation = "organisation"

// KeyList lists all issued keys, or those of one organisation, at one revision.
type KeyList struct {
	Revision uint64 `json:"revision"`
	// Confirmed is true when a quorum confirmed the revision while the request was answered.
	Confirmed bool  `json:"confirmed"`
	Keys      []Key `json:"keys"`
}

// Configuration holds all documents at one revision.
type Configuration struct {
	Revision uint64 `json:"revision"`
	// Confirmed is true when a quorum confirmed the revision while the request was answered.
	Confirmed bool       `json:"confirmed"`
	Documents []Document `json:"documents"`
}

// DocumentRef identifies a document.
type DocumentRef struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// NewKey is a key to issue.
type NewKey struct {
	Organisation string `json:"organisation"`
	// Hash is the SHA-256 of the secret.
	Hash []byte `json:"hash"`
}

// Change is an atomic set of edits to documents and keys.
type Change struct {
	// ID is chosen by the client: 1 to 64 letters, digits, ".", "_" and "-".
	ID string `json:"id"`
	// ExpectedRevision is the revision that the change was made against. Exactly one
	// of ExpectedRevision and AnyRevision is given.
	ExpectedRevision *uint64       `json:"expectedRevision,omitempty"`
	AnyRevision      bool          `json:"anyRevision,omitempty"`
	Upserts          []Document    `json:"upserts,omitempty"`
	Deletes          []DocumentRef `json:"deletes,omitempty"`
	IssueKeys        []NewKey      `json:"issueKeys,omitempty"`
	WithdrawKeys     []uint64      `json:"withdrawKeys,omitempty"`
}

// AcceptedChange is the answer to a change that was accepted.
type AcceptedChange struct {
	ID string `json:"id"`
	// Revision is the revision that the change created.
	Revision uint64 `json:"revision"`
	// KeyNumbers are the numbers of the issued keys, in the order of Change.IssueKeys.
	KeyNumbers []uint64 `json:"keyNumbers,omitempty"`
}

// changeID matches valid change ids.
var changeID = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// toMessage converts the change to the message for the control plane.
func (c *Change) toMessage() *apiv1.Change {
	m := &apiv1.Change{Id: c.ID, AnyRevision: c.AnyRevision, WithdrawKeys: c.WithdrawKeys}
	if c.ExpectedRevision != nil {
		m.ExpectedRevision = *c.ExpectedRevision
	}
	for _, d := range c.Upserts {
		m.Upserts = append(m.Upserts, d.Resource())
	}
	for _, r := range c.Deletes {
		m.Deletes = append(m.Deletes, &apiv1.ResourceRef{Kind: r.Kind, Name: r.Name})
	}
	for _, k := range c.IssueKeys {
		m.IssueKeys = append(m.IssueKeys, &apiv1.KeyRecord{Organisation: k.Organisation, Hash: k.Hash})
	}
	return m
}

// Resource converts the document to its stored form, without its revision.
func (d Document) Resource() *apiv1.Resource {
	return &apiv1.Resource{Kind: d.Kind, Name: d.Name, Labels: d.Labels, Spec: d.Spec}
}

// FromResource converts a stored document.
func FromResource(r *apiv1.Resource) Document {
	return Document{Kind: r.GetKind(), Name: r.GetName(), Labels: r.GetLabels(), Spec: r.GetSpec(), Revision: r.GetRevision()}
}
