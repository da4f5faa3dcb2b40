package serverpath

import (
	"errors"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a crashed server going unnoticed after an unframed response: the refusal of its address
// was hidden, since another node did not reach it.
func TestRefusalThatNoOtherNodeConfirmsIsStillTold(t *testing.T) {
	g := NewWithT(t)
	for said, proof := range map[verdict]bool{{}: true, {refused: 1}: true, {unreached: 1}: false, {refused: 1, unreached: 1}: false} {
		err := (&fallback{said: said}).explain(syscall.ECONNREFUSED)
		var refused interface{ RefusedHere() bool }
		g.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(Equal(proof), "proof to all nodes")
		g.Expect(proof || errors.As(err, &refused) && refused.RefusedHere()).To(BeTrue(), "told to this node")
	}
}
