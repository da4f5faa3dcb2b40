package inspect_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/inspect"
	"github.com/hatchplank/hatchplank/internal/poison"
)

func source(origins inspect.Origins) *inspect.Source {
	view := fleet.NewView()
	view.SetConfiguration(fleet.NewConfiguration(7, 42, []*fleet.Route{{Host: "h", Prefix: "/a/"}}, nil, fleet.Limits{}))
	view.ReplaceServers(map[string]*fleet.Server{
		"i-2": {ID: "i-2", Pool: "models", Zone: "z", Models: map[string]fleet.LoadedModel{"m": {Adapters: map[string]bool{"a2": true, "a1": true}}}},
		"i-1": {ID: "i-1", Pool: "models", Zone: "y", Draining: true},
	})
	return &inspect.Source{
		Node: "n-1", Zone: "z", View: view, Holder: func() string { return "n-2" }, Relayed: func() bool { return true },
		Poison:  func() []poison.Entry { return nil },
		Origins: func() inspect.Origins { return origins },
		Demand: func() []forward.Demand {
			return []forward.Demand{
				{DemandKey: forward.DemandKey{Pool: "models", Model: "m"}, Waiting: 2},
				{DemandKey: forward.DemandKey{Pool: "models", Model: "quiet"}},
			}
		},
	}
}

func TestPageShowsConfigurationAndReplicas(t *testing.T) {
	RegisterTestingT(t)
	answer := httptest.NewRecorder()
	source(nil).ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/status", nil))
	var page inspect.Page
	Expect(json.Unmarshal(answer.Body.Bytes(), &page)).To(Succeed())
	Expect(page.ConfigurationVersion).To(BeEquivalentTo(7))
	Expect(page.ConfigurationRevision).To(BeEquivalentTo(42))
	Expect(page.Routes).To(Equal(1))
	Expect(page.IsHolder).To(BeFalse())
	Expect(page.Servers).To(HaveLen(2))
	Expect(page.Servers[0].ID).To(Equal("i-1"))
	Expect(page.Servers[0].Draining).To(BeTrue())
	Expect(page.Servers[1].Replicas).To(Equal([]inspect.Replica{{Model: "m", Adapters: []string{"a1", "a2"}}}))
	Expect(page.Demand).To(Equal([]inspect.Demand{{Pool: "models", Model: "m", Waiting: 2}}))
}

func TestHoldersPageShowsWhyModelsWereLoaded(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	page := source(inspect.Origins{"i-2": {"m": {Since: now.Add(-12 * time.Second), Reason: "cold"}}}).Page(now)
	Expect(page.IsHolder).To(BeTrue())
	Expect(page.Servers[1].Replicas[0].Reason).To(Equal("cold"))
	var text bytes.Buffer
	Expect(page.Print(&text)).To(Succeed())
	Expect(text.String()).To(ContainSubstring("configuration 7 of revision 42, 1 routes"))
	Expect(text.String()).To(MatchRegexp(`i-2 +models +z +ready +m +a1,a2 +12s +cold`))
	Expect(text.String()).To(MatchRegexp(`models +m +2 +0`))
}

func TestPageShowsPoisonRequests(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	withPoison := source(nil)
	identity := poison.IdentityOf("", "POST", "h", "/x", nil)
	withPoison.Poison = func() []poison.Entry {
		return []poison.Entry{{Identity: identity, Times: 1, Servers: []string{"i-1", "i-2"}, Until: now.Add(9 * time.Minute)}}
	}
	var text bytes.Buffer
	Expect(withPoison.Page(now).Print(&text)).To(Succeed())
	Expect(text.String()).To(MatchRegexp(identity.Text() + ` +1 +540s +0s +i-1,i-2`))
}

func TestPageOfANodeWithoutConfiguration(t *testing.T) {
	RegisterTestingT(t)
	unconfigured := &inspect.Source{
		Node: "n", View: fleet.NewView(), Holder: func() string { return "" }, Relayed: func() bool { return false },
		Origins: func() inspect.Origins { return nil }, Demand: func() []forward.Demand { return nil },
		Poison: func() []poison.Entry { return nil },
	}
	var text bytes.Buffer
	Expect(unconfigured.Page(time.Now()).Print(&text)).To(Succeed())
	Expect(text.String()).To(ContainSubstring("no configuration yet"))
	Expect(text.String()).To(ContainSubstring("no node is known to order"))
}
