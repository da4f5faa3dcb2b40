package etcd_test

import (
	"bytes"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/rs/zerolog"
)

var _ = Describe("A restore of the service under running nodes", func() {
	It("is detected and logged, once for each restore", func() {
		store := keyvalue.NewStore(keyvalue.Options{Clock: clock.System{}})
		server := httptest.NewServer(keyvalue.NewServer(store, zerolog.Nop()))
		DeferCleanup(server.Close)
		var lines bytes.Buffer
		client, err := etcd.New(etcd.Config{Endpoints: []string{server.URL}, Logger: zerolog.New(&lines)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		write := func() {
			end := transact(client, longTimeout, outside.Transaction{Operations: []outside.Operation{{Key: "key", Value: []byte("v")}}})
			Expect(end.err).NotTo(HaveOccurred())
		}
		read := func() {
			errs := make(chan error, 1)
			client.Range("key", longTimeout, func(_ outside.RangeResult, err error) { errs <- err })
			Eventually(errs, longTimeout).Should(Receive(BeNil()))
		}
		backup := store.Backup()
		for range 2 {
			write()
			write()
			store.Restore(backup)
			read()
			read()
		}
		Expect(strings.Count(lines.String(), `"message":"key-value service went back to an earlier state"`)).To(Equal(2))
		Expect(lines.String()).To(ContainSubstring(`"revision":1,"revision_before":3`))
	})
})
