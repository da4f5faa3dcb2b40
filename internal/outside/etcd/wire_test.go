package etcd_test

import (
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd"
)

// capture starts a server that records the last request and always sends the same response.
func capture(response string) (url string, path, body func() string) {
	var mutex sync.Mutex
	var lastPath, lastBody string
	url = serve(func(w http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		mutex.Lock()
		lastPath, lastBody = r.URL.Path, string(content)
		mutex.Unlock()
		respondWith(http.StatusOK, response)(w, r)
	})
	read := func(value *string) func() string {
		return func() string {
			mutex.Lock()
			defer mutex.Unlock()
			return *value
		}
	}
	return url, read(&lastPath), read(&lastBody)
}

// The bodies here are literals, independent of the types of package wire, so that an error in
// those types can't go undetected.
var _ = Describe("The published JSON form", func() {
	It("is used for a transaction", func() {
		url, path, body := capture(`{"header":{"cluster_id":"125","member_id":"138","revision":"9","raft_term":"2"},
			"responses":[{"response_range":{"header":{"revision":"9"},"kvs":[{"key":"Zm9v","create_revision":"2",
			"mod_revision":"8","version":"3","value":"YmFy","lease":"77"}],"count":"1"}},{"response_range":{"header":{"revision":"9"}}}]}`)
		end := transact(newClient(url), longTimeout, outside.Transaction{
			Compares: []outside.Compare{{Key: "foo", ModRevision: 5}, {Key: "new"}},
			Operations: []outside.Operation{
				{Key: "foo", Value: []byte("bar"), Lease: 77},
				{Kind: outside.OperationDelete, Key: "new"},
			},
		})
		Expect(path()).To(Equal("/v3/kv/txn"))
		Expect(body()).To(MatchJSON(`{
			"compare":[{"result":"EQUAL","target":"MOD","key":"Zm9v","mod_revision":"5"},
				{"result":"EQUAL","target":"MOD","key":"bmV3","mod_revision":"0"}],
			"success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"77"}},{"request_delete_range":{"key":"bmV3"}}],
			"failure":[{"request_range":{"key":"Zm9v"}},{"request_range":{"key":"bmV3"}}]}`))
		Expect(end.err).NotTo(HaveOccurred())
		Expect(end.result).To(Equal(outside.TransactionResult{Revision: 9, Current: []outside.KeyValue{
			{Key: "foo", Value: []byte("bar"), CreateRevision: 2, ModRevision: 8, Lease: 77},
		}}))
	})

	DescribeTable("is used for the other calls",
		func(call func(*etcd.Client), response, expectedPath, expectedBody string) {
			url, path, body := capture(response)
			client := newClient(url)
			call(client)
			Eventually(path, longTimeout).Should(Equal(expectedPath))
			Expect(body()).To(MatchJSON(expectedBody))
		},
		Entry("range", func(c *etcd.Client) { c.Range("foo", longTimeout, func(outside.RangeResult, error) {}) },
			`{}`, "/v3/kv/range", `{"key":"Zm9v","range_end":"Zm9w"}`),
		Entry("range of all", func(c *etcd.Client) { c.Range("", longTimeout, func(outside.RangeResult, error) {}) },
			`{}`, "/v3/kv/range", `{"key":"AA==","range_end":"AA=="}`),
		Entry("grant, rounded up", func(c *etcd.Client) {
			c.GrantLease(1500*time.Millisecond, longTimeout, func(outside.Lease, error) {})
		}, `{"ID":"7","TTL":"2"}`, "/v3/lease/grant", `{"TTL":"2"}`),
		Entry("keep alive", func(c *etcd.Client) { c.KeepAlive(7, longTimeout, func(error) {}) },
			`{"result":{"ID":"7","TTL":"2"}}`, "/v3/lease/keepalive", `{"ID":"7"}`),
		Entry("revoke", func(c *etcd.Client) { c.RevokeLease(7, longTimeout, func(error) {}) },
			`{}`, "/v3/lease/revoke", `{"ID":"7"}`),
		Entry("watch", func(c *etcd.Client) { c.Watch("foo", 9, newWatcher()) },
			`{}`, "/v3/watch", `{"create_request":{"key":"Zm9v","range_end":"Zm9w","start_revision":"10","progress_notify":true}}`),
	)
})
