package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/pkg/errors"
)

// FingerprintSize is the size of a fingerprint in bytes. Half of a SHA-256 digest leaves no way to find a second request with the fingerprint of
// another caller's.
const FingerprintSize = 16

// Fingerprint identifies requests that are the same to their target.
type Fingerprint [FingerprintSize]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint returns the fingerprint with the given hexadecimal digits.
func ParseFingerprint(text string) (Fingerprint, error) {
	data, err := hex.DecodeString(text)
	if err != nil {
		return Fingerprint{}, errors.Wrap(err, "fingerprint")
	}
	return FromBytes(data)
}

// FromBytes returns the fingerprint with the given bytes.
func FromBytes(data []byte) (Fingerprint, error) {
	var f Fingerprint
	if len(data) != FingerprintSize {
		return f, errors.Errorf("fingerprint of %d bytes, want %d", len(data), FingerprintSize)
	}
	copy(f[:], data)
	return f, nil
}

// Identity is what makes requests the same to their target.
type Identity struct {
	Service, Method, Host string
	// Path holds path and query.
	Path string
	// Caller is the organisation of a caller's request, or the service that makes a call.
	Caller string
	// Body is the digest of the body; empty for none.
	Body []byte
}

// Fingerprint returns the fingerprint of the requests with this identity.
func (i Identity) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, part := range []string{i.Service, i.Method, i.Host, i.Path, i.Caller} {
		writePart(h, []byte(part))
	}
	writePart(h, i.Body)
	return truncate(h)
}

// DigestBody returns the digest of a body of the given length; -1 if it is not known in advance. Of a body that is not held
// in full, data is its start.
func DigestBody(data []byte, length int64) []byte {
	h := sha256.New()
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(length))
	_, _ = h.Write(size[:])
	_, _ = h.Write(data)
	f := truncate(h)
	return f[:]
}

// writePart adds a part with its length, so that no two lists of parts give the same bytes.
func writePart(h hash.Hash, part []byte) {
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(part)))
	_, _ = h.Write(size[:])
	_, _ = h.Write(part)
}

func truncate(h hash.Hash) Fingerprint {
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
