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

// protocolName is negotiated by ALPN; its number rises with incompatible changes of the wire format.
const protocolName = "waxwingslip-peer/1"

// reloadInterval limits how often a handshake looks for changed files.
const reloadInterval = 10 * time.Second

// Files names the PEM files of a daemon's identity.
type Files struct {
	CA   string
	Cert string
	Key  string
}

// Credentials is the identity of a daemon and the authority that it trusts. Files that change are loaded again
// at the next handshake. It is safe for concurrent use.
type Credentials struct {
	files Files
	now   func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamps  [3]time.Time // modification times of CA, Cert and Key when they were loaded
	cert    tls.Certificate
	pool    *x509.CertPool
	lastErr error
}

// LoadCredentials reads the files.
func LoadCredentials(files Files) (*Credentials, error) {
	c := &Credentials{files: files, now: time.Now}
	if err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files now. If they are not valid, the loaded ones stay in use.
func (c *Credentials) Reload() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked = c.now()
	c.lastErr = c.load(c.stat())
	return c.lastErr
}

// LastError returns why the newest attempt to load the files failed, or nil.
func (c *Credentials) LastError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastErr
}

// Name returns the name in the daemon's own certificate.
func (c *Credentials) Name() string {
	cert, _ := c.current()
	return nameOf(cert.Leaf)
}

func (c *Credentials) stat() (stamps [3]time.Time) {
	for i, name := range []string{c.files.CA, c.files.Cert, c.files.Key} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

// load reads the files. The caller holds mu.
func (c *Credentials) load(stamps [3]time.Time) error {
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
	if nameOf(cert.Leaf) == "" {
		return errors.Errorf("certificate %s has no name", c.files.Cert)
	}
	c.cert, c.pool, c.stamps = cert, pool, stamps
	return nil
}

// current returns what is loaded, after a look for changed files.
func (c *Credentials) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.now(); now.Sub(c.checked) >= reloadInterval {
		c.checked = now
		if stamps := c.stat(); stamps != c.stamps {
			c.lastErr = c.load(stamps)
		}
	}
	return c.cert, c.pool
}

// nameOf returns the name of a daemon: the first DNS name, or else the common name.
func nameOf(cert *x509.Certificate) string {
	if cert == nil {
		return ""
	}
	if len(cert.DNSNames) > 0 {
		return cert.DNSNames[0]
	}
	return cert.Subject.CommonName
}

// verify checks the peer's certificate against the authority. Daemons address each other by IP numbers that
// change with their VMs, so the certificate's name is not compared with the address.
func (c *Credentials) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
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
		if err == nil && nameOf(state.PeerCertificates[0]) == "" {
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
		// The chain is verified by VerifyConnection, whose authority may be loaded again.
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: c.verify(x509.ExtKeyUsageClientAuth),
		// A resumed session would keep an authority in force that has been replaced.
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
		VerifyConnection:   c.verify(x509.ExtKeyUsageServerAuth),
	}
}

// resetKey derives a key that stays the same when the daemon restarts with the same private key. Callers of
// the old process then learn at once that their connections are gone.
func (c *Credentials) resetKey() (*quic.StatelessResetKey, error) {
	cert, _ := c.current()
	der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return nil, errors.Wrap(err, "derive reset key")
	}
	mac := hmac.New(sha256.New, der)
	mac.Write([]byte("waxwingslip stateless reset"))
	key := quic.StatelessResetKey(mac.Sum(nil))
	return &key, nil
}
