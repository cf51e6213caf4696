package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// protocolName is negotiated by ALPN; its number increases with each incompatible change of the wire format.
const protocolName = "waxwingslip-peer/1"

// reloadInterval is the minimum time between checks for changed files, which handshakes make.
const reloadInterval = 10 * time.Second

// Files holds the paths of the PEM files of a daemon's identity.
type Files struct {
	CA   string
	Cert string
	Key  string
}

// Credentials is the identity of a daemon and the authority that it trusts. Changed files, if there are any, are reloaded
// by a later handshake, see reloadInterval. It is safe for concurrent use.
type Credentials struct {
	files Files
	now   func() time.Time

	mu        sync.Mutex
	checkedAt time.Time
	modTimes  [3]time.Time // of CA, Cert and Key when they were loaded
	cert      tls.Certificate
	pool      *x509.CertPool
	lastErr   error
	// resetSecret replaces the private key as the source of the stateless reset key; nil if it was not set.
	resetSecret []byte
}

// LoadCredentials returns the credentials in the files.
func LoadCredentials(files Files) (*Credentials, error) {
	c := &Credentials{files: files, now: time.Now}
	if err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// NewCredentials returns credentials that are in memory only. Replace changes them.
func NewCredentials(cert tls.Certificate, roots *x509.CertPool) *Credentials {
	return &Credentials{now: time.Now, cert: cert, pool: roots}
}

// SetResetSecret sets the secret from which the stateless reset key is derived. A daemon whose private key changes with
// each start needs one that stays the same. It is called before the credentials are used.
func (c *Credentials) SetResetSecret(secret []byte) { c.resetSecret = secret }

// Replace puts another identity and authority into force for later handshakes.
func (c *Credentials) Replace(cert tls.Certificate, roots *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cert, c.pool = cert, roots
}

// Reload reads the files immediately. If they are not valid, the previous credentials stay in use.
func (c *Credentials) Reload() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkedAt = c.now()
	c.lastErr = c.load(c.fileModTimes())
	return c.lastErr
}

// LastError returns the error of the most recent attempt to load the files, or nil.
func (c *Credentials) LastError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastErr
}

// Name returns the name in the daemon's own certificate.
func (c *Credentials) Name() string {
	cert, _ := c.current()
	return certName(cert.Leaf)
}

func (c *Credentials) fileModTimes() (modTimes [3]time.Time) {
	for i, name := range []string{c.files.CA, c.files.Cert, c.files.Key} {
		if info, err := os.Stat(name); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// load reads the files. The caller holds mu.
func (c *Credentials) load(modTimes [3]time.Time) error {
	ca, err := os.ReadFile(c.files.CA)
	if err != nil {
		return errors.Wrap(err, "load CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return errors.Errorf("load CA: %s has no certificate", c.files.CA)
	}
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s with key %s", c.files.Cert, c.files.Key)
	}
	if certName(cert.Leaf) == "" {
		return errors.Errorf("certificate %s has no name", c.files.Cert)
	}
	c.cert, c.pool, c.modTimes = cert, pool, modTimes
	return nil
}

// current returns the loaded credentials. Once per reloadInterval it first reloads changed files.
func (c *Credentials) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.now(); c.files != (Files{}) && now.Sub(c.checkedAt) >= reloadInterval {
		c.checkedAt = now
		if modTimes := c.fileModTimes(); modTimes != c.modTimes {
			c.lastErr = c.load(modTimes)
		}
	}
	return c.cert, c.pool
}

// certName returns the name of the daemon in a certificate: the first DNS name, or else the common name.
func certName(cert *x509.Certificate) string {
	if cert == nil {
		return ""
	}
	if len(cert.DNSNames) > 0 {
		return cert.DNSNames[0]
	}
	return cert.Subject.CommonName
}

// verifier returns a function that verifies the peer's certificate against the authority. Daemons are addressed by IP
// addresses that change with their VMs, so the certificate's name is not compared with the address.
func (c *Credentials) verifier(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer has no certificate")
		}
		_, pool := c.current()
		opts := x509.VerifyOptions{
			Roots: pool, CurrentTime: c.now(), KeyUsages: []x509.ExtKeyUsage{usage}, Intermediates: x509.NewCertPool(),
		}
		for _, cert := range state.PeerCertificates[1:] {
			opts.Intermediates.AddCert(cert)
		}
		_, err := state.PeerCertificates[0].Verify(opts)
		if err == nil && certName(state.PeerCertificates[0]) == "" {
			err = errors.New("peer's certificate has no name")
		}
		return errors.Wrap(err, "verify peer")
	}
}

func (c *Credentials) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return &cert, nil
		},
		// VerifyConnection verifies the chain, against an authority that may have been reloaded.
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: c.verifier(x509.ExtKeyUsageClientAuth),
		// A resumed session would still trust an authority that has been replaced.
		SessionTicketsDisabled: true,
	}
}

func (c *Credentials) clientTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return &cert, nil
		},
		// The standard verification includes the host name, which daemons do not have. VerifyConnection
		// verifies everything else.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifier(x509.ExtKeyUsageServerAuth),
	}
}

// resetKey derives the stateless reset key from the reset secret or, without one, from the private key, so that it is the
// same after a restart. Callers of the previous process then detect at once that their connections are lost.
func (c *Credentials) resetKey() (*quic.StatelessResetKey, error) {
	secret := c.resetSecret
	if secret == nil {
		cert, _ := c.current()
		der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
		if err != nil {
			return nil, errors.Wrap(err, "derive reset key")
		}
		secret = der
	}
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("waxwingslip stateless reset"))
	key := quic.StatelessResetKey(mac.Sum(nil))
	return &key, nil
}
