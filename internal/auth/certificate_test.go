package auth_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/simulation"
)

const pollInterval = time.Second

// writePair writes a self-signed certificate with the serial number and its key,
// and returns the key in PEM format.
func writePair(files auth.CertificateFiles, serial int64) []byte {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	encodedKey, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encodedKey})
	Expect(os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600)).To(Succeed())
	Expect(os.WriteFile(files.Key, keyPEM, 0o600)).To(Succeed())
	return keyPEM
}

var _ = Describe("CertificateReloader", func() {
	var files auth.CertificateFiles
	var loop *simulation.Loop
	var logs bytes.Buffer

	BeforeEach(func() {
		directory := GinkgoT().TempDir()
		files = auth.CertificateFiles{Certificate: filepath.Join(directory, "node.pem"), Key: filepath.Join(directory, "node.key")}
		loop = simulation.NewLoop(1)
		logs.Reset()
	})

	newReloader := func() *auth.CertificateReloader {
		reloader, err := auth.NewCertificateReloader(files, loop, pollInterval, zerolog.New(&logs))
		Expect(err).NotTo(HaveOccurred())
		return reloader
	}

	serialOf := func(reloader *auth.CertificateReloader) int64 {
		certificate, err := reloader.GetCertificate(nil)
		Expect(err).NotTo(HaveOccurred())
		parsed, err := x509.ParseCertificate(certificate.Certificate[0])
		Expect(err).NotTo(HaveOccurred())
		return parsed.SerialNumber.Int64()
	}

	It("loads a new pair within one period, and none after Close", func() {
		writePair(files, 1)
		reloader := newReloader()
		Expect(serialOf(reloader)).To(BeEquivalentTo(1))
		writePair(files, 2)
		loop.RunFor(pollInterval)
		Expect(serialOf(reloader)).To(BeEquivalentTo(2))
		reloader.Close()
		writePair(files, 3)
		loop.RunFor(5 * pollInterval)
		Expect(serialOf(reloader)).To(BeEquivalentTo(2))
	})

	DescribeTable("keeps the current pair when the new one is invalid", func(corrupt func()) {
		keyPEM := writePair(files, 1)
		reloader := newReloader()
		corrupt()
		loop.RunFor(pollInterval)
		Expect(serialOf(reloader)).To(BeEquivalentTo(1))
		Expect(logs.String()).To(ContainSubstring("not reloaded"))
		Expect(logs.String()).NotTo(ContainSubstring(string(keyPEM[40:80])))
		writePair(files, 2)
		loop.RunFor(pollInterval)
		Expect(serialOf(reloader)).To(BeEquivalentTo(2))
	},
		Entry("no certificate", func() { Expect(os.Remove(files.Certificate)).To(Succeed()) }),
		Entry("no key", func() { Expect(os.Remove(files.Key)).To(Succeed()) }),
		Entry("half a key", func() { Expect(os.Truncate(files.Key, 60)).To(Succeed()) }),
		Entry("another pair's key", func() {
			other := auth.CertificateFiles{Certificate: files.Certificate + ".other", Key: files.Key}
			writePair(other, 9)
		}),
	)

	It("fails when the files do not exist at the start", func() {
		_, err := auth.NewCertificateReloader(files, loop, pollInterval, zerolog.Nop())
		Expect(err).To(HaveOccurred())
	})
})
