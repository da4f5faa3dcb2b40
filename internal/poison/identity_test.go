package poison

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestIdentityDistinguishesRequests(t *testing.T) {
	RegisterTestingT(t)
	of := func(caller, method, host, target, body string) Identity {
		return IdentityOf(caller, method, host, target, []byte(body))
	}
	one := of("c", "POST", "h", "/p?x=1", "body")
	Expect(of("c", "POST", "h", "/p?x=1", "body")).To(Equal(one))
	for _, other := range []Identity{
		of("d", "POST", "h", "/p?x=1", "body"), of("c", "PUT", "h", "/p?x=1", "body"), of("c", "POST", "i", "/p?x=1", "body"),
		of("c", "POST", "h", "/p?x=2", "body"), of("c", "POST", "h", "/p?x=1", "bodz"), of("c", "POST", "h", "/p?x=1", ""),
		// Bytes moved from one part to the next.
		of("c", "POST", "h/", "p?x=1", "body"), of("c", "POST", "h", "/p?x=1b", "ody"),
	} {
		Expect(other).NotTo(Equal(one))
	}
}
