package auth_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/auth"
)

var _ = Describe("Keyring", func() {
	credential := auth.Credential{SHA256: auth.HashToken("secret"), Tenant: "attica", Role: auth.RoleOperator}

	DescribeTable("authenticates", func(header string, known bool) {
		keyring, err := auth.NewKeyring([]auth.Credential{credential})
		Expect(err).NotTo(HaveOccurred())
		principal, found := keyring.Authenticate(header)
		Expect(found).To(Equal(known))
		if known {
			Expect(principal).To(Equal(auth.Principal{Tenant: "attica", Role: auth.RoleOperator}))
		} else {
			Expect(principal).To(BeZero())
		}
	},
		Entry("the token", "Bearer secret", true),
		Entry("a scheme in other letters", "bEARER secret", true),
		Entry("another token", "Bearer secret2", false),
		Entry("the token's start", "Bearer secre", false),
		Entry("the hash", "Bearer "+credential.SHA256, false),
		Entry("another scheme", "Basicc secret", false),
		Entry("nothing", "", false),
		Entry("no token", "Bearer ", false),
		Entry("a very long token", "Bearer "+strings.Repeat("s", 10_000), false),
	)

	DescribeTable("rejects an invalid credential", func(change func(*auth.Credential), fault string) {
		bad := credential
		change(&bad)
		_, err := auth.NewKeyring([]auth.Credential{{SHA256: auth.HashToken("other"), Role: auth.RoleAdmin}, bad})
		Expect(err).To(MatchError(ContainSubstring("token 1: " + fault)))
	},
		Entry("a plain token", func(c *auth.Credential) { c.SHA256 = "secret" }, "sha256"),
		Entry("half a hash", func(c *auth.Credential) { c.SHA256 = c.SHA256[:32] }, "sha256"),
		Entry("no role", func(c *auth.Credential) { c.Role = 0 }, "role"),
		Entry("no tenant", func(c *auth.Credential) { c.Tenant = "" }, "tenant"),
		Entry("a token listed twice", func(c *auth.Credential) { c.SHA256 = auth.HashToken("other") }, "the same token"),
	)

	It("reports all invalid credentials at once", func() {
		_, err := auth.NewKeyring([]auth.Credential{{}, {}})
		Expect(err).To(MatchError(And(ContainSubstring("token 0"), ContainSubstring("token 1"))))
	})

	It("parses the names of roles and orders roles", func() {
		for _, role := range []auth.Role{auth.RoleCaller, auth.RoleOperator, auth.RoleAdmin} {
			Expect(auth.ParseRole(role.String())).To(Equal(role))
		}
		_, err := auth.ParseRole("root")
		Expect(err).To(HaveOccurred())
		Expect(auth.Principal{Role: auth.RoleOperator}.Allows(auth.RoleAdmin)).To(BeFalse())
		Expect(auth.Principal{}.Allows(0)).To(BeFalse())
	})
})
