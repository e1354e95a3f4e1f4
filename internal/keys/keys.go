// Package keys issues callers' keys and verifies them.
//
// A key reads "gf_<number>_<secret>". The store gives each key the next number when
// the change that issues it is accepted; the secret is drawn by Issue and shown to
// the operator once. Only the SHA-256 of the secret is stored. A secret holds 256
// random bits, so that a fast hash suffices.
//
// A Table holds the records of all keys. It is immutable: With returns a successor
// that shares the unchanged parts, so that readers take no lock and an issued or
// withdrawn key costs little even among millions.
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
	// prefix starts every key, so that scanners can find leaked ones.
	prefix = "gf"
	// separator stands between the parts of a key.
	separator = "_"
	// secretBytes is the random part of a key.
	secretBytes = 32
	// maxKeyLength bounds the text that Verify looks at, in bytes.
	maxKeyLength = 96
)

// Issue draws a secret and returns it with the record to store. The record has no number yet.
func Issue(organisation string) (secret string, rec *apiv1.KeyRecord, err error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", nil, errors.Wrap(err, "draw the secret of a key")
	}
	secret = base64.RawURLEncoding.EncodeToString(raw)
	hash := sha256.Sum256([]byte(secret))
	return secret, &apiv1.KeyRecord{Organisation: organisation, Hash: hash[:]}, nil
}

// Format returns the key that the caller presents.
func Format(number uint64, secret string) string {
	return prefix + separator + strconv.FormatUint(number, 10) + separator + secret
}

// parse splits a key into its number and the hash of its secret. It accepts only
// the form that Format writes.
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

// canonicalNumber returns true for digits without sign and leading zeros.
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

// validSecret returns true for text of the length and alphabet of secrets.
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
