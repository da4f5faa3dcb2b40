package keyvalue_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

var _ = Describe("Server", func() {
	var (
		world *world
		url   string
	)
	BeforeEach(func() {
		world = newWorld(1)
		server := httptest.NewServer(keyvalue.NewServer(world.store, zerolog.Nop()))
		DeferCleanup(server.Close)
		url = server.URL
	})

	post := func(path, body string) (int, string) {
		response, err := http.Post(url+path, "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode, string(content)
	}
	get := func(path string) string {
		response, err := http.Get(url + path)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return string(content)
	}

	It("speaks the published form", func() {
		_, granted := post("/v3/lease/grant", `{"TTL":"10"}`)
		Expect(granted).To(MatchJSON(`{"header":{"revision":"1"},"ID":"1","TTL":"10"}`))
		transaction := `{"compare":[{"target":"MOD","result":"EQUAL","key":"Zm9v","mod_revision":0}],
			"success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"1"}}],"failure":[{"request_range":{"key":"Zm9v"}}]}`
		_, written := post("/v3/kv/txn", transaction)
		Expect(written).To(MatchJSON(`{"header":{"revision":"2"},"succeeded":true}`))
		_, refused := post("/v3/kv/txn", transaction)
		Expect(refused).To(MatchJSON(`{"header":{"revision":"2"},"responses":[{"response_range":{"header":{"revision":"2"},
			"kvs":[{"key":"Zm9v","value":"YmFy","create_revision":"2","mod_revision":"2","lease":"1"}]}}]}`))
		_, read := post("/v3/kv/range", `{"key":"Zm8=","range_end":"Zm8="}`)
		Expect(read).To(ContainSubstring("not supported"))
		_, read = post("/v3/kv/range", `{"key":"Zm9v"}`)
		Expect(read).To(MatchJSON(`{"header":{"revision":"2"},"kvs":[{"key":"Zm9v","value":"YmFy","create_revision":"2","mod_revision":"2","lease":"1"}]}`))
		_, alive := post("/v3/lease/keepalive", `{"ID":"1"}`)
		Expect(alive).To(MatchJSON(`{"result":{"header":{"revision":"2"},"ID":"1","TTL":"10"}}`))
		_, revoked := post("/v3/kv/lease/revoke", `{"ID":"1"}`)
		Expect(revoked).To(MatchJSON(`{"header":{"revision":"3"}}`))
	})

	DescribeTable("refuses bad input",
		func(path, body string, status int) {
			code, _ := post(path, body)
			Expect(code).To(Equal(status))
			Expect(world.store.Revision()).To(BeEquivalentTo(1))
		},
		Entry("no JSON", "/v3/kv/txn", `<html>`, http.StatusBadRequest),
		Entry("too large", "/v3/kv/txn", `{"x":"`+strings.Repeat("y", 5<<20)+`"}`, http.StatusRequestEntityTooLarge),
		Entry("bad number", "/v3/lease/grant", `{"TTL":"soon"}`, http.StatusBadRequest),
		Entry("no time to live", "/v3/lease/grant", `{"TTL":"0"}`, http.StatusBadRequest),
		Entry("other comparison", "/v3/kv/txn", `{"compare":[{"target":"VERSION","key":"Zm9v"}]}`, http.StatusBadRequest),
		Entry("failure that writes", "/v3/kv/txn", `{"failure":[{"request_put":{"key":"Zm9v"}}]}`, http.StatusBadRequest),
		Entry("watch without request", "/v3/watch", `{}`, http.StatusBadRequest),
		Entry("unknown lease", "/v3/lease/revoke", `{"ID":"9"}`, http.StatusNotFound),
		Entry("unknown fault", "/control/faults", `{"flood":true}`, http.StatusBadRequest),
		Entry("probability above 1", "/control/faults", `{"lost_replies":2}`, http.StatusBadRequest),
		Entry("bad delay", "/control/faults", `{"delay":"-1s"}`, http.StatusBadRequest),
	)

	It("switches faults and shows records and counters", func() {
		status, _ := post("/control/faults", `{"outage":true,"delay":"200ms","lost_replies":0.5,"operations_per_second":10,"burst":3,"watch_gaps":0.1,"watch_gap_delay":"2s"}`)
		Expect(status).To(Equal(http.StatusOK))
		Expect(world.store.Faults()).To(Equal(keyvalue.Faults{
			Outage: true, Delay: 200 * time.Millisecond, LostReplies: 0.5, OperationsPerSecond: 10, Burst: 3,
			WatchGaps: 0.1, WatchGapDelay: 2 * time.Second,
		}))
		status, _ = post("/v3/kv/range", `{"key":"Zm9v"}`)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		post("/control/faults", `{}`)
		Expect(world.store.Faults()).To(Equal(keyvalue.Faults{}))
		world.write("key/a", "1")
		world.write("other", "1")
		world.write("key/a", "2")
		Expect(get("/control/records?after=2")).To(MatchJSON(`[{"revision":4,"time":"2026-01-01T00:00:00Z","cause":"transaction",
			"events":[{"kv":{"key":"a2V5L2E=","value":"Mg==","create_revision":"2","mod_revision":"4"}}]}]`))
		Expect(get("/control/counters")).To(ContainSubstring(`"refused":{"grant_lease":0,"keep_alive":0,"range":1`))
	})
})
