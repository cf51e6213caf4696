package operator

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/node/operator/api"
)

// Guards against a listener that serves plain HTTP although TLS is configured, and against a shutdown that fails or
// hangs.
func TestServe(t *testing.T) {
	for _, secure := range []bool{false, true} {
		is := is.New(t)
		tokens, err := ParseTokens([]byte(token))
		is.NoErr(err)
		cert, key, pool := "", "", (*x509.CertPool)(nil)
		if secure {
			cert, key, pool = certificate(t)
		}
		cfg, err := LoadTLS(cert, key)
		is.NoErr(err)
		d := &fakeDaemon{}
		s := NewServer(NewHandler(d, d, tokens), cfg, log.New(io.Discard, "", 0))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()

		transport := &http.Transport{DisableKeepAlives: true}
		base := "http://" + l.Addr().String()
		if secure {
			_, err = api.NewClient(base, token, &http.Client{Transport: transport}).Status(t.Context())
			is.True(err != nil)
			transport = transport.Clone()
			transport.TLSClientConfig = clientTLS(pool)
			base = "https://" + l.Addr().String()
		}
		status, err := api.NewClient(base, token, &http.Client{Transport: transport}).Status(t.Context())
		is.NoErr(err)
		is.Equal(status.Daemon, "d")
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		is.NoErr(s.Shutdown(ctx))
		cancel()
		is.NoErr(<-served)
	}
	_, err := LoadTLS("missing.crt", "missing.key")
	is.New(t).True(err != nil)
}

// certificate writes a self-signed certificate for 127.0.0.1.
func certificate(t *testing.T) (certFile, keyFile string, pool *x509.CertPool) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	dir := t.TempDir()
	certFile, keyFile = filepath.Join(dir, "crt"), filepath.Join(dir, "key")
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	is.NoErr(os.WriteFile(certFile, certPEM, 0o600))
	is.NoErr(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	pool = x509.NewCertPool()
	pool.AppendCertsFromPEM(certPEM)
	return certFile, keyFile, pool
}

func clientTLS(pool *x509.CertPool) *tls.Config {
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
}
