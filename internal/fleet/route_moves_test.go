package fleet

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a pool that lost a route unnoticed: its streams are resumed in another pool.
func TestPoolsLeftAreThoseThatRequestsNoLongerGoTo(t *testing.T) {
	RegisterTestingT(t)
	route := func(prefix string, targets ...Target) *Route {
		return &Route{Host: "H", Prefix: prefix, Targets: targets}
	}
	configuration := func(routes ...*Route) *Configuration { return NewConfiguration(1, 1, routes, nil, Limits{}) }
	p, q, idle := Target{Pool: "p", Weight: 1}, Target{Pool: "q", Weight: 1}, Target{Pool: "p"}
	before := configuration(route("/a/", p), route("/b/", q))
	cases := map[string]struct {
		after *Configuration
		left  []string
	}{
		"unchanged":                   {configuration(route("/a/", p), route("/b/", q)), nil},
		"a second target":             {configuration(route("/a/", p, q), route("/b/", q)), nil},
		"moved":                       {configuration(route("/a/", q), route("/b/", q)), []string{"p"}},
		"moved by weight":             {configuration(route("/a/", idle, q), route("/b/", q)), []string{"p"}},
		"removed":                     {configuration(route("/a/", p)), []string{"q"}},
		"a more specific route":       {configuration(route("/a/", p), route("/a/x/", q), route("/b/", q)), []string{"p"}},
		"all requests go elsewhere":   {configuration(route("/", Target{Pool: "r", Weight: 1})), []string{"p", "q"}},
		"replaced by a broader route": {configuration(route("/", p), route("/b/", q)), nil},
	}
	for name, c := range cases {
		Expect(c.after.PoolsLeft(before)).To(Equal(c.left), name)
	}
}
