package auth

import (
	"bytes"
	"crypto/tls"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
)

// CertificateFiles are the paths of a certificate chain and its private key, both
// in PEM format.
type CertificateFiles struct {
	Certificate string
	Key         string
}

// CertificateReloader serves a certificate that is read from files, and reloads it
// when the files change. If the new pair is invalid, the previous one stays in
// use. Keys are never logged.
type CertificateReloader struct {
	files   CertificateFiles
	logger  zerolog.Logger
	current atomic.Pointer[loadedPair]
	stop    func()
}

// loadedPair is a parsed certificate with the contents of the files, which are
// compared to detect changes.
type loadedPair struct {
	certificate tls.Certificate
	chain, key  []byte
}

// NewCertificateReloader loads the files and checks them for changes every period.
// It returns an error if the first load fails.
func NewCertificateReloader(files CertificateFiles, c clock.Clock, period time.Duration, logger zerolog.Logger) (*CertificateReloader, error) {
	reloader := &CertificateReloader{files: files, logger: logger}
	if _, err := reloader.reload(); err != nil {
		return nil, err
	}
	reloader.stop = clock.Repeat(c, period, reloader.poll)
	return reloader, nil
}

// GetCertificate returns the current certificate; it implements the callback of
// tls.Config.
func (r *CertificateReloader) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &r.current.Load().certificate, nil
}

// TLSConfig returns a TLS configuration that serves the current certificate.
func (r *CertificateReloader) TLSConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: r.GetCertificate}
}

// Close stops checking the files.
func (r *CertificateReloader) Close() { r.stop() }

func (r *CertificateReloader) poll() {
	changed, err := r.reload()
	if err != nil {
		r.logger.Error().Err(err).Str("file", r.files.Certificate).Msg("certificate not reloaded; the previous one stays in use")
		return
	}
	if changed {
		r.logger.Info().Str("file", r.files.Certificate).Msg("certificate reloaded")
	}
}

// reload reads both files and reports whether a new pair was loaded.
func (r *CertificateReloader) reload() (bool, error) {
	chain, err := os.ReadFile(r.files.Certificate)
	if err != nil {
		return false, eris.Wrap(err, "read certificate file")
	}
	key, err := os.ReadFile(r.files.Key)
	if err != nil {
		return false, eris.Wrap(err, "read key file")
	}
	current := r.current.Load()
	if current != nil && bytes.Equal(current.chain, chain) && bytes.Equal(current.key, key) {
		return false, nil
	}
	certificate, err := tls.X509KeyPair(chain, key)
	if err != nil {
		return false, eris.Wrap(err, "certificate and key do not match")
	}
	r.current.Store(&loadedPair{certificate: certificate, chain: chain, key: key})
	return true, nil
}
