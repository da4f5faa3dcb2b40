package command

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/inspect"
	"github.com/hatchplank/hatchplank/internal/poison"
)

func inspectNode(t *testing.T, handler http.Handler, arguments ...string) (string, error) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	var output bytes.Buffer
	command := NewInspectCommand()
	command.SetContext(t.Context())
	command.SetOut(&output)
	command.SetArgs(append([]string{"--node", server.URL}, arguments...))
	err := command.Execute()
	return output.String(), err
}

func TestInspectShowsANodesPage(t *testing.T) {
	g := NewWithT(t)
	source := &inspect.Source{
		Node: "n-1", View: fleet.NewView(), Holder: func() string { return "n-2" }, Relayed: func() bool { return false },
		Origins: func() inspect.Origins { return nil }, Demand: func() []forward.Demand { return nil }, Poison: func() []poison.Entry { return nil },
	}
	pages := http.NewServeMux()
	pages.Handle("/status", source)
	text, err := inspectNode(t, pages)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(ContainSubstring("n-2 orders the model servers"))
	text, err = inspectNode(t, pages, "--output", "json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(ContainSubstring(`"node": "n-1"`))
}

func TestInspectTellsWhatIsNoNode(t *testing.T) {
	g := NewWithT(t)
	_, err := inspectNode(t, http.NotFoundHandler())
	g.Expect(err).To(MatchError(ContainSubstring("status 404")))
	_, err = inspectNode(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("{")) }))
	g.Expect(err).To(HaveOccurred())
}
