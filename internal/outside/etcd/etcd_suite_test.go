package etcd_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd"
	"github.com/rs/zerolog"
)

func TestETCD(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "etcd binding")
}

const (
	longTimeout      = 30 * time.Second
	maxResponseBytes = 4096
)

// serve starts a server and returns its URL.
func serve(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return server.URL
}

func newClient(endpoints ...string) *etcd.Client {
	client, err := etcd.New(etcd.Config{
		Endpoints:        endpoints,
		Logger:           zerolog.Nop(),
		MaxResponseBytes: maxResponseBytes,
		WatchIdleTimeout: 50 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return client
}

// outcome is the result of a transaction as passed to its callback.
type outcome struct {
	result outside.TransactionResult
	err    error
}

func transact(client *etcd.Client, timeout time.Duration, transaction outside.Transaction) outcome {
	outcomes := make(chan outcome, 2)
	client.Transact(transaction, timeout, func(result outside.TransactionResult, err error) { outcomes <- outcome{result, err} })
	var received outcome
	Eventually(outcomes, longTimeout).Should(Receive(&received))
	return received
}

func awaitError(call func(done func(error))) error {
	errs := make(chan error, 2)
	call(func(err error) { errs <- err })
	var err error
	Eventually(errs, longTimeout).Should(Receive(&err))
	return err
}
