// Package keys issues and verifies the API keys of callers.
//
// # Concepts
//
// A key has the form "gf_<number>_<secret>". The store assigns the next number to a key when
// it accepts the change that issues the key. Issue generates the secret, which is shown to
// the operator once; only its SHA-256 hash is stored. A secret has 256 random bits, so that a
// fast hash suffices. A withdrawn key has been revoked.
//
// A Table holds the records of all keys. It is immutable: With returns a new version that shares
// the unchanged parts with the old one, so that readers need no lock and issuing or withdrawing
// a key is cheap even among millions.
//
// # Data flow
//
//	Issue --record--> store --issued records, withdrawn numbers--> Table.With
//	key of a request --Table.Verify--> Record and Status
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

const (
	// prefix starts every key, so that secret scanners can find leaked keys.
	prefix = "gf"
	// separator separates the parts of a key.
	separator = "_"
	// secretBytes is the number of random bytes in a secret.
	secretBytes = 32
	// maxKeyLength is the longest text, in bytes, that Verify parses.
	maxKeyLength = 96
)

// Issue generates a secret and returns it with the record to store. The record has no number yet.
func Issue(organisation string) (secret string, rec *apiv1.KeyRecord, err error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", nil, errors.Wrap(err, "generate the secret of a key")
	}
	secret = base64.RawURLEncoding.EncodeToString(raw)
	hash := sha256.Sum256([]byte(secret))
	return secret, &apiv1.KeyRecord{Organisation: organisation, Hash: hash[:]}, nil
}

// Format returns the key that callers send.
func Format(number uint64, secret string) string {
	return prefix + separator + strconv.FormatUint(number, 10) + separator + secret
}

// parse splits a key into its number and the hash of its secret. It accepts only
// keys in the form that Format returns.
func parse(key string) (number uint64, hash [sha256.Size]byte, ok bool) {
	if len(key) > maxKeyLength {
		return 0, hash, false
	}
	rest, found := strings.CutPrefix(key, prefix+separator)
	if !found {
		return 0, hash, false
	}
	digits, secret, found := strings.Cut(rest, separator)
	if !found || !canonicalNumber(digits) || !validSecret(secret) {
		return 0, hash, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, hash, false
	}
	return number, sha256.Sum256([]byte(secret)), true
}

// canonicalNumber reports whether the text is a decimal number without sign and leading zeros.
func canonicalNumber(digits string) bool {
	if digits == "" || digits[0] == '0' {
		return false
	}
	for i := range len(digits) {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

// validSecret reports whether the text has the length and alphabet of secrets.
func validSecret(text string) bool {
	if len(text) != base64.RawURLEncoding.EncodedLen(secretBytes) {
		return false
	}
	for i := range len(text) {
		c := text[i]
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
