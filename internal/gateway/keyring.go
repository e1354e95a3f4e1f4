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

// KeyChecker checks API keys against the current configuration, and that this configuration was confirmed recently
// enough. It is used for requests of callers, for sub-calls and by the gate.
type KeyChecker struct {
	configuration *blackboard.Section[board.Configuration]
	freshness     *blackboard.Section[board.Freshness]
	clock         clock.Clock
	// maxAge is the maximum age of the confirmation; beyond it, requests with a key are refused.
	maxAge time.Duration
}

// NewKeyChecker returns a checker that reads the configuration and its freshness from b.
func NewKeyChecker(b *board.Board, c clock.Clock, limit time.Duration) *KeyChecker {
	return &KeyChecker{configuration: b.Configuration, freshness: b.Freshness, clock: c, maxAge: limit}
}

// staleRetryAfter is the time after which a caller may retry a request that was refused for a stale configuration.
const staleRetryAfter = time.Second

// checkFreshness returns nil, or a refusal if the configuration was not confirmed recently enough.
func (k *KeyChecker) checkFreshness() *outcome.Refusal {
	age, ok := k.freshness.Load().Age(k.clock.Now())
	if ok && age <= k.maxAge {
		return nil
	}
	return outcome.NotRun(outcome.StaleConfiguration, staleRetryAfter, "the current configuration was not confirmed within %v", k.maxAge)
}

// CheckKeyNumber returns nil if the key with this number may still be used, and otherwise a refusal. The number 0
// stands for requests without a key, on routes that need none.
func (k *KeyChecker) CheckKeyNumber(number uint64) *outcome.Refusal {
	if number == 0 {
		return nil
	}
	if r := k.checkFreshness(); r != nil {
		return r
	}
	if k.configuration.Load().Keys.Withdrawn(number) {
		return outcome.NotRun(outcome.KeyWithdrawn, 0, "the key was withdrawn")
	}
	return nil
}

// credentials are the verified key of a request.
type credentials struct {
	record keys.Record
	// secret is the key as it was sent, so that it can be removed from the header fields that are forwarded.
	secret string
}

// authenticate verifies the key in the Authorization header of a request.
func (k *KeyChecker) authenticate(r *http.Request) (credentials, *outcome.Refusal) {
	if refusal := k.checkFreshness(); refusal != nil {
		return credentials{}, refusal
	}
	secret, ok := bearerToken(r.Header)
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

// bearerToken returns the bearer token of a request that has exactly one Authorization header.
func bearerToken(h http.Header) (string, bool) {
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
