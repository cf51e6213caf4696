package operator

import (
	"crypto/tls"

	"github.com/pkg/errors"
)

// LoadTLS returns the TLS configuration of the operators' listener from PEM files, or nil if both names are
// empty, which means plain HTTP.
func LoadTLS(certificateFile, keyFile string) (*tls.Config, error) {
	if certificateFile == "" && keyFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "load operators' certificate %s", certificateFile)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}, nil
}
