package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/api"
)

const nodeToken = "secret"

// runCommand runs a command as the program does and returns its output.
func runCommand(t *testing.T, command *cobra.Command, arguments ...string) (string, error) {
	t.Helper()
	var output bytes.Buffer
	command.SetOut(&output)
	command.SetErr(&output)
	command.SilenceUsage = true
	command.SetArgs(arguments)
	err := command.Execute()
	return output.String(), err
}

// startFakeNode answers status and drain to the right token; once drained it
// stops answering.
func startFakeNode(t *testing.T) string {
	t.Helper()
	drained := false
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/healthz" && drained {
			panic(http.ErrAbortHandler)
		}
		if request.Header.Get("Authorization") != "Bearer "+nodeToken {
			writer.WriteHeader(http.StatusUnauthorized)
			_, _ = writer.Write([]byte(`{"error":{"message":"no","code":"unauthenticated","result_code":1006}}`))
			return
		}
		drained = drained || request.URL.Path == "/admin/v1/drain"
		_ = json.NewEncoder(writer).Encode(api.Status{
			Node: "node-1", Revision: 7, Unreachable: []string{"node-3"},
			Rows: []api.RowStatus{{Row: "dossier", Tenant: "attica", MinReplicas: 1, MaxReplicas: 4, Waiting: 3, Replicas: []api.ReplicaStatus{
				{Server: "glossa-04", Phase: "ready", Reason: "waiting requests"}, {Slot: 1, Server: "glossa-05", Phase: "loading"},
			}}},
			Owners: []api.OwnerStatus{{Cell: "attica", Member: "node-2", Epoch: 5}, {Cell: "spare", Vacant: true}},
			Platform: api.PlatformHealth{Services: []api.ServiceHealth{
				{Service: "key-value", Healthy: true, LastSuccess: time.Now()}, {Service: "weight store"},
			}},
		})
	})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func TestStatus(t *testing.T) {
	node := startFakeNode(t)
	tokenFile := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(tokenFile, []byte(nodeToken+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	output, err := runCommand(t, NewStatusCommand(), "--node", node, "--token-file", tokenFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"node node-1, table revision 7", "missing: node-3", "dossier attica 1 2 1 4 3 0", "dossier 0 glossa-04 ready 0 0 waiting requests",
		"attica node-2 5", "spare (vacant) 0", "weight store failing never",
	} {
		if !strings.Contains(strings.Join(strings.Fields(output), " "), line) {
			t.Errorf("%q is missing in\n%s", line, output)
		}
	}
	output, err = runCommand(t, NewStatusCommand(), "--node", strings.TrimPrefix(node, "http://"), "--token", nodeToken, "--output", "json")
	var status api.Status
	if err != nil || json.Unmarshal([]byte(output), &status) != nil || status.Rows[0].Waiting != 3 {
		t.Errorf("got %v and %s", err, output)
	}
}

func TestStatusFailures(t *testing.T) {
	node := startFakeNode(t)
	t.Setenv(environmentToken, "")
	for expected, arguments := range map[string][]string{
		"1006 unauthenticated": {"--node", node},
		"not one of":           {"--node", node, "--output", "xml"},
		"call node":            {"--node", "http://127.0.0.1:1"},
		"read token":           {"--token-file", filepath.Join(t.TempDir(), "missing")},
		"read authority":       {"--ca-file", filepath.Join(t.TempDir(), "missing")},
		"unknown command":      {"surplus"},
	} {
		if _, err := runCommand(t, NewStatusCommand(), arguments...); err == nil || !strings.Contains(err.Error(), expected) {
			t.Errorf("%v: got %v, want %q", arguments, err, expected)
		}
	}
}

func TestDrain(t *testing.T) {
	output, err := runCommand(t, NewDrainCommand(), "--node", startFakeNode(t), "--token", nodeToken, "--wait", "1m", "--output", "json")
	var drained drainResult
	if err != nil || json.Unmarshal([]byte(output), &drained) != nil || !drained.Stopped {
		t.Errorf("got %v and %s", err, output)
	}
	if _, err := runCommand(t, NewDrainCommand(), "--node", startFakeNode(t), "--token", "wrong"); err == nil {
		t.Error("a wrong token was accepted")
	}
}

func TestVersion(t *testing.T) {
	output, err := runCommand(t, NewVersionCommand(), "--output", "json")
	var info versionInfo
	if err != nil || json.Unmarshal([]byte(output), &info) != nil || !strings.HasPrefix(info.Go, "go1") {
		t.Errorf("got %v and %s", err, output)
	}
}

func TestLoadRefusesOtherMachines(t *testing.T) {
	_, err := runCommand(t, NewLoadCommand(), "--nodes", "http://192.0.2.1:80", "--model", "m", "--quiet")
	if err == nil || !strings.Contains(err.Error(), "loopback") {
		t.Errorf("got %v", err)
	}
}

// TestCompletion checks that the shells' scripts and the flags' words exist.
func TestCompletion(t *testing.T) {
	newProgram := func() *cobra.Command {
		root := newRoot()
		root.AddCommand(NewStatusCommand(), NewDrainCommand(), NewLoadCommand(), NewVersionCommand())
		return root
	}
	for _, shell := range []string{"bash", "zsh", "fish"} {
		if script, err := runCommand(t, newProgram(), "completion", shell); err != nil || !strings.Contains(script, "hatchplank") {
			t.Errorf("%s: got %v and %d bytes", shell, err, len(script))
		}
	}
	output, err := runCommand(t, newProgram(), "__complete", "status", "--output", "")
	if err != nil || !strings.HasPrefix(output, "table\njson\n") {
		t.Errorf("got %v and %q", err, output)
	}
}
