package fleet_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/fleet"

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // fixes the seed
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fleet Suite")
}

func route(name, host, prefix string) *fleet.Route {
	return &fleet.Route{Name: name, Host: host, Prefix: prefix, Targets: []fleet.Target{{Pool: "p", Weight: 1}}}
}

var _ = Describe("routes", func() {
	configuration := fleet.NewConfiguration(1, 1, []*fleet.Route{
		route("short", "h.example", "/a/"), route("long", "h.example", "/a/b/"), route("other", "o.example", "/a/"),
	}, nil, fleet.Limits{})

	DescribeTable("are matched by host and longest prefix", func(host, path, expected string) {
		found := configuration.Match(host, path)
		if expected == "" {
			Expect(found).To(BeNil())
			return
		}
		Expect(found).NotTo(BeNil())
		Expect(found.Name).To(Equal(expected))
	},
		Entry("short", "h.example", "/a/x", "short"),
		Entry("long", "h.example", "/a/b/x", "long"),
		Entry("host in capitals", "H.Example", "/a/", "short"),
		Entry("host with a port", "h.example:8080", "/a/", "short"),
		Entry("another host", "o.example", "/a/b/", "other"),
		Entry("unknown host", "x.example", "/a/", ""),
		Entry("not below a prefix", "h.example", "/b/", ""),
		Entry("prefix without its end", "h.example", "/a", ""),
		Entry("no path", "h.example", "", ""),
	)

	It("distribute consecutive requests by weight", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			first, second := rapid.IntRange(1, 100).Draw(t, "first"), rapid.IntRange(0, 100).Draw(t, "second")
			split := &fleet.Route{Targets: []fleet.Target{{Pool: "a", Weight: first}, {Pool: "b", Weight: second}}}
			const requests = 2000
			firstNumber := rapid.Uint64Range(0, 1<<40).Draw(t, "begin")
			taken := 0
			for number := range uint64(requests) {
				if split.Pick(firstNumber+number) == "a" {
					taken++
				}
			}
			share, expected := float64(taken)/requests, float64(first)/float64(first+second)
			if share < expected-0.05 || share > expected+0.05 {
				t.Fatalf("share %v, weight %v", share, expected)
			}
		})
	})

	It("without a weight select no pool", func() {
		Expect((&fleet.Route{Targets: []fleet.Target{{Pool: "a"}}}).Pick(1)).To(BeEmpty())
		Expect((&fleet.Route{}).Pick(1)).To(BeEmpty())
	})
})

var _ = Describe("view", func() {
	loaded := func(models ...string) map[string]fleet.LoadedModel {
		result := map[string]fleet.LoadedModel{}
		for _, model := range models {
			result[model] = fleet.LoadedModel{}
		}
		return result
	}
	newView := func() *fleet.View {
		view := fleet.NewView()
		view.ReplaceServers(map[string]*fleet.Server{"s": {ID: "s", Pool: "p", Models: loaded("a")}})
		return view
	}

	It("accepts only later configurations", func() {
		view := newView()
		Expect(view.SetConfiguration(fleet.NewConfiguration(5, 50, nil, nil, fleet.Limits{}))).To(BeTrue())
		Expect(view.SetConfiguration(fleet.NewConfiguration(4, 40, nil, nil, fleet.Limits{}))).To(BeFalse())
		Expect(view.Load().Configuration.Version).To(BeEquivalentTo(5))
	})

	It("overlays a server's record with the holder's placement until it is cleared", func() {
		view := newView()
		view.ApplyPlacements([]*fleet.Server{{ID: "s", Models: loaded("b")}, {ID: "unknown", Models: loaded("c")}})
		Expect(view.Load().Servers).To(HaveLen(1))
		Expect(view.Load().Servers["s"].Holds("b", "")).To(BeTrue())
		Expect(view.Load().Servers["s"].Holds("a", "")).To(BeFalse())
		Expect(view.Load().Servers["s"].Recorded()).To(HaveKey("a"))
		view.UpdateServers(map[string]*fleet.Server{"s": {ID: "s", Pool: "p", Models: loaded("a"), Draining: true}})
		Expect(view.Load().Servers["s"].Holds("b", "")).To(BeTrue())
		Expect(view.Load().Servers["s"].Draining).To(BeTrue())
		view.ClearPlacements()
		Expect(view.Load().Servers["s"].Holds("a", "")).To(BeTrue())
	})

	It("drops the placement of a deregistered server", func() {
		view := newView()
		view.ApplyPlacements([]*fleet.Server{{ID: "s", Models: loaded("b")}})
		view.UpdateServers(map[string]*fleet.Server{"s": nil})
		Expect(view.Load().Pool("p")).To(BeEmpty())
		view.ReplaceServers(map[string]*fleet.Server{"s": {ID: "s", Pool: "p", Models: loaded("a")}})
		Expect(view.Load().Servers["s"].Holds("a", "")).To(BeTrue())
	})

	It("keeps the latest placement, in whatever order placements arrive", func() {
		view := newView()
		view.ApplyPlacements([]*fleet.Server{{ID: "s", Models: loaded("b"), PlacementVersion: 7}})
		view.ApplyPlacements([]*fleet.Server{{ID: "s", Models: loaded("c"), PlacementVersion: 6}})
		Expect(view.Load().Servers["s"].Holds("b", "")).To(BeTrue())
		view.ApplyPlacements([]*fleet.Server{{ID: "s", Models: loaded("c"), PlacementVersion: 8}})
		Expect(view.Load().Servers["s"].Holds("c", "")).To(BeTrue())
	})

	It("drops the placement of an earlier record of a server, and keeps that of a later record", func() {
		record := func(created int64) map[string]*fleet.Server {
			return map[string]*fleet.Server{"s": {ID: "s", Pool: "p", Models: loaded("a"), Created: created}}
		}
		for _, apply := range []func(*fleet.View, map[string]*fleet.Server){(*fleet.View).UpdateServers, (*fleet.View).ReplaceServers} {
			view := fleet.NewView()
			view.UpdateServers(record(5))
			view.ApplyPlacements([]*fleet.Server{{ID: "s", Models: loaded("b"), Created: 5}})
			apply(view, record(5))
			Expect(view.Load().Servers["s"].Holds("b", "")).To(BeTrue())
			apply(view, record(9))
			Expect(view.Load().Servers["s"].Holds("a", "")).To(BeTrue())
			view.ApplyPlacements([]*fleet.Server{{ID: "s", Models: loaded("c"), Created: 12}})
			view.UpdateServers(map[string]*fleet.Server{"s": nil})
			apply(view, record(12))
			Expect(view.Load().Servers["s"].Holds("c", "")).To(BeTrue())
		}
	})

	It("signals changes", func() {
		view := newView()
		changed := view.Changed()
		Expect(changed).NotTo(BeClosed())
		view.ReplaceServers(nil)
		Expect(changed).To(BeClosed())
	})

	It("requires the adapter where one is requested", func() {
		server := &fleet.Server{Models: map[string]fleet.LoadedModel{"a": {Adapters: map[string]bool{"a1": true}}}}
		Expect(server.Holds("", "")).To(BeTrue())
		Expect(server.Holds("a", "a1")).To(BeTrue())
		Expect(server.Holds("a", "a2")).To(BeFalse())
		Expect(server.Holds("b", "")).To(BeFalse())
	})
})
