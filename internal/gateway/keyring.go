package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/keys"
	"github.com/guavaford/guavaford/internal/outcome"
)

// Keyring checks keys against the configuration in force, and that this configuration is
// confirmed recently enough. It serves the entry, sub-calls and the gate.
type Keyring struct {
	configuration *blackboard.Section[board.Configuration]
	freshness     *blackboard.Section[board.Freshness]
	clock         clock.Clock
	// limit is the age of the confirmation past which keyed requests are refused.
	limit time.Duration
}

// NewKeyring returns a keyring over the sections of b.
func NewKeyring(b *board.Board, c clock.Clock, limit time.Duration) *Keyring {
	return &Keyring{configuration: b.Configuration, freshness: b.Freshness, clock: c, limit: limit}
}

// staleRetryAfter is when a caller may try again after a refusal for a stale configuration.
const staleRetryAfter = time.Second

// fresh returns a refusal when the configuration is not confirmed recently enough.
func (k *Keyring) fresh() *outcome.Refusal {
	age, ok := k.freshness.Load().Age(k.clock.Now())
	if ok && age <= k.limit {
		return nil
	}
	return outcome.NotRun(outcome.StaleConfiguration, staleRetryAfter, "the configuration in force was not confirmed within %v", k.limit)
}

// Allowed returns nil, or the refusal of a request whose key has this number. Requests on
// routes open to all have the number 0.
func (k *Keyring) Allowed(number uint64) *outcome.Refusal {
	if number == 0 {
		return nil
	}
	if r := k.fresh(); r != nil {
		return r
	}
	if k.configuration.Load().Keys.Withdrawn(number) {
		return outcome.NotRun(outcome.KeyWithdrawn, 0, "the key was withdrawn")
	}
	return nil
}

// credentials are what a caller's key proves.
type credentials struct {
	record keys.Record
	// secret is the key as it was sent, so that it can be kept out of other header fields.
	secret string
}

// authenticate checks the key of a request.
func (k *Keyring) authenticate(r *http.Request) (credentials, *outcome.Refusal) {
	if refusal := k.fresh(); refusal != nil {
		return credentials{}, refusal
	}
	secret, ok := bearer(r.Header)
	if !ok {
		return credentials{}, outcome.NotRun(outcome.KeyMissing, 0, "send the key as Authorization: Bearer KEY")
	}
	record, status := k.configuration.Load().Keys.Verify(secret)
	switch status {
	case keys.Valid:
		return credentials{record: record, secret: secret}, nil
	case keys.Withdrawn:
		return credentials{}, outcome.NotRun(outcome.KeyWithdrawn, 0, "the key was withdrawn")
	default:
		return credentials{}, outcome.NotRun(outcome.KeyUnknown, 0, "the key is not known")
	}
}

// bearer returns the key of a request that carries exactly one.
func bearer(h http.Header) (string, bool) {
	values := h["Authorization"]
	if len(values) != 1 {
		return "", false
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", false
	}
	return key, true
}
