// Package devcert issues the certificates of daemons: for development and tests from an authority whose key is
// discarded, and for daemons on the platform from an authority that is kept in the platform's store.
package devcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/node/peer"
)

// validity is the validity period of an authority and of certificates in files.
const validity = 5 * 365 * 24 * time.Hour

// clockSkew is how far the clock of a process may be behind for a new certificate to be valid at once.
const clockSkew = time.Hour

// Authority signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate CA key")
	}
	template := certTemplate("development CA")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign CA")
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, errors.Wrap(err, "parse CA")
}

func certTemplate(name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		panic(err) // crypto/rand does not fail
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-clockSkew), NotAfter: time.Now().Add(validity),
	}
}

// Encode returns the authority's certificate and key as PEM blocks, to be kept as a secret.
func (a *Authority) Encode() ([]byte, error) {
	key, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, errors.Wrap(err, "encode CA key")
	}
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
	return append(text, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})...), nil
}

// ParseAuthority decodes the result of Encode.
func ParseAuthority(text []byte) (*Authority, error) {
	pair, err := tls.X509KeyPair(text, text)
	if err != nil {
		return nil, errors.Wrap(err, "read CA")
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.New("read CA: key is not an ECDSA key")
	}
	return &Authority{cert: pair.Leaf, key: key}, nil
}

// Issue returns a new certificate of a daemon, valid for a time, with its key.
func (a *Authority) Issue(name string, validFor time.Duration) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "generate key of %s", name)
	}
	template := certTemplate(name)
	template.NotAfter = time.Now().Add(validFor)
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "sign certificate of %s", name)
	}
	leaf, err := x509.ParseCertificate(der)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, errors.Wrapf(err, "parse certificate of %s", name)
}

// ResetSecret returns the secret of a daemon for peer.Credentials.SetResetSecret. It is the same in each of the daemon's
// processes.
func (a *Authority) ResetSecret(name string) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, errors.Wrapf(err, "derive reset secret of %s", name)
	}
	mac := hmac.New(sha256.New, der)
	mac.Write([]byte("reset secret of " + name))
	return mac.Sum(nil), nil
}

// Roots returns a pool with the authority's certificate.
func (a *Authority) Roots() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Write issues the certificate of a daemon and writes NAME.crt, NAME.key and ca.crt as PEM files to a directory.
func (a *Authority) Write(dir, name string) (peer.Files, error) {
	issued, err := a.Issue(name, validity)
	if err != nil {
		return peer.Files{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(issued.PrivateKey)
	if err != nil {
		return peer.Files{}, errors.Wrapf(err, "encode key of %s", name)
	}
	files := peer.Files{
		CA:   filepath.Join(dir, "ca.crt"),
		Cert: filepath.Join(dir, name+".crt"),
		Key:  filepath.Join(dir, name+".key"),
	}
	for _, f := range []struct {
		path, kind string
		der        []byte
	}{
		{files.CA, "CERTIFICATE", a.cert.Raw}, {files.Cert, "CERTIFICATE", issued.Certificate[0]}, {files.Key, "PRIVATE KEY", keyDER},
	} {
		text := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der})
		if err := os.WriteFile(f.path, text, 0o600); err != nil {
			return peer.Files{}, errors.Wrapf(err, "write certificate of %s", name)
		}
	}
	return files, nil
}
