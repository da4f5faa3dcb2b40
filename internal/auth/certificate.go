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

// CertificateFiles name a certificate chain and its key, both PEM.
type CertificateFiles struct {
	Certificate string
	Key         string
}

// CertificateReloader serves the certificate of two files and takes a new one
// when the files change. A pair that can't be used leaves the one before in
// force. Keys are never logged.
type CertificateReloader struct {
	files   CertificateFiles
	logger  zerolog.Logger
	current atomic.Pointer[loadedCertificate]
	stop    func()
}

type loadedCertificate struct {
	certificate tls.Certificate
	chain, key  []byte
}

// NewCertificateReloader reads the files, and again every period. An error
// means that the first reading failed.
func NewCertificateReloader(files CertificateFiles, c clock.Clock, period time.Duration, logger zerolog.Logger) (*CertificateReloader, error) {
	reloader := &CertificateReloader{files: files, logger: logger}
	if _, err := reloader.reload(); err != nil {
		return nil, err
	}
	reloader.stop = clock.Repeat(c, period, reloader.poll)
	return reloader, nil
}

// GetCertificate fits tls.Config.
func (r *CertificateReloader) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &r.current.Load().certificate, nil
}

// TLSConfig returns a configuration that always serves the newest certificate.
func (r *CertificateReloader) TLSConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: r.GetCertificate}
}

// Close ends the polling.
func (r *CertificateReloader) Close() { r.stop() }

func (r *CertificateReloader) poll() {
	changed, err := r.reload()
	if err != nil {
		r.logger.Error().Err(err).Str("file", r.files.Certificate).Msg("certificate not reloaded; the one before stays in force")
		return
	}
	if changed {
		r.logger.Info().Str("file", r.files.Certificate).Msg("certificate reloaded")
	}
}

// reload reads both files and reports whether a new pair came into force.
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
		return false, eris.Wrap(err, "certificate and key don't form a pair")
	}
	r.current.Store(&loadedCertificate{certificate: certificate, chain: chain, key: key})
	return true, nil
}
