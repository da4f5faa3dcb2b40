package etcd_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Guards against a response that broke off being taken for one of fewer keys, or of a call that was not applied.
var _ = DescribeTable("a response that breaks off says nothing of the call", func(format string) {
	header := `"header":{"revision":"9"}`
	calls := map[string]func(address string) error{
		`{` + header + `,"kvs":[{"key":"YQ==","value":"MQ==","mod_revision":"5"},{"key":"Yg==","value":"MQ==","mod_revision":"6"}],"count":"2"}`: func(address string) error {
			errs := make(chan error, 1)
			newClient(address).Range("a", time.Second, func(_ outside.RangeResult, err error) { errs <- err })
			return <-errs
		},
		`{` + header + `,"succeeded":true}`: func(address string) error {
			return transact(newClient(address), time.Second, outside.Transaction{}).err
		},
		`{"result":{` + header + `,"ID":"7","TTL":"5"}}`: func(address string) error {
			return awaitError(func(done func(error)) { newClient(address).KeepAlive(7, time.Second, done) })
		},
	}
	for body, call := range calls {
		response := fmt.Sprintf(format, len(body), body)
		for cut := range len(response) + 1 {
			address := serve(func(writer http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(writer).Hijack()
				if err != nil {
					return
				}
				_, _ = conn.Write([]byte(response[:cut]))
				_ = conn.Close()
			})
			err := call(address)
			if cut == len(response) {
				Expect(err).NotTo(HaveOccurred())
				continue
			}
			Expect(err).To(MatchError(outside.ErrAmbiguous), "cut behind byte %d of %q", cut, response)
			Expect(err).NotTo(MatchError(outside.ErrNotApplied))
		}
	}
},
	Entry("length", "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"),
	Entry("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"),
	Entry("neither", "HTTP/1.1 200 OK\r\nX-Length: %d\r\n\r\n%s"),
)
