package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

const (
	// minSecretBytes is the shortest fleet secret that is accepted.
	minSecretBytes = 16
	// certificateName is the subject that each node expects in the certificate of the other.
	certificateName = "peer.guavaford.internal"
	// serialBits is the size of the random serial number of a certificate.
	serialBits = 120
)

// newTLSConfig returns a TLS configuration for mutual authentication of nodes that
// hold the same fleet secret. The key of a certificate authority is derived from the
// secret; each process generates a key pair of its own and signs its certificate with
// that authority.
func newTLSConfig(secret []byte) (*tls.Config, error) {
	if len(secret) < minSecretBytes {
		return nil, errors.Errorf("fleet secret has %d bytes; at least %d are needed", len(secret), minSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, "guavaford peer certificate authority v1", ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "derive authority key")
	}
	authorityKey := ed25519.NewKeyFromSeed(seed)
	authority, err := newAuthority(authorityKey)
	if err != nil {
		return nil, err
	}
	leaf, err := newLeaf(authority, authorityKey)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(authority)
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{leaf},
		RootCAs:                roots,
		ClientCAs:              roots,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ServerName:             certificateName,
		SessionTicketsDisabled: true,
		// batchConn coalesces frames already; using full-size records from the start saves system calls.
		DynamicRecordSizingDisabled: true,
	}, nil
}

// newAuthority returns the certificate of the authority. Nodes with the same secret
// get the same certificate except for the serial number, which is never compared.
func newAuthority(key ed25519.PrivateKey) (*x509.Certificate, error) {
	template, err := newTemplate("guavaford fleet")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "create authority certificate")
	}
	return x509.ParseCertificate(der)
}

func newLeaf(authority *x509.Certificate, authorityKey ed25519.PrivateKey) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(certificateName)
	if err != nil {
		return tls.Certificate{}, err
	}
	template.DNSNames = []string{certificateName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, public, authorityKey)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "create certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// newTemplate returns a certificate template that never expires: the clocks of hosts
// need not agree, and a secret is replaced by restarting with a new one.
func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, 12, 31, 23, 59, 59, 0, time.UTC),
	}, nil
}
