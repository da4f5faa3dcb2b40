package command

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/api"
)

const (
	outputTable = "table"
	outputJSON  = "json"
	// environmentNode and environmentToken give the flags' defaults, so that a
	// token need not stand in a shell's history.
	environmentNode  = "HATCHPLANK_NODE"
	environmentToken = "HATCHPLANK_TOKEN"
	defaultNode      = "http://127.0.0.1:8080"
	defaultTimeout   = 30 * time.Second
)

// nodeFlags say which node's administration to call, and how.
type nodeFlags struct {
	node, token, tokenFile, authorityFile string
	timeout                               time.Duration
}

func (f *nodeFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.node, "node", "", "URL of a node (default $"+environmentNode+", else "+defaultNode+")")
	flags.StringVar(&f.token, "token", "", "bearer token (default $"+environmentToken+")")
	flags.StringVar(&f.tokenFile, "token-file", "", "file that holds the bearer token")
	flags.StringVar(&f.authorityFile, "ca-file", "", "PEM file of the authority that signed the node's certificate")
	flags.DurationVar(&f.timeout, "timeout", defaultTimeout, "how long one call may take")
}

// client returns a client of the node's administration.
func (f *nodeFlags) client() (*api.Client, error) {
	token, err := f.readToken()
	if err != nil {
		return nil, err
	}
	transport, err := f.transport()
	if err != nil {
		return nil, err
	}
	node := firstNonEmpty(f.node, os.Getenv(environmentNode), defaultNode)
	return api.NewClient(node, token, &http.Client{Transport: transport, Timeout: f.timeout}), nil
}

func (f *nodeFlags) readToken() (string, error) {
	if f.tokenFile == "" {
		return firstNonEmpty(f.token, os.Getenv(environmentToken)), nil
	}
	content, err := os.ReadFile(f.tokenFile)
	if err != nil {
		return "", eris.Wrap(err, "read token")
	}
	return strings.TrimSpace(string(content)), nil
}

func (f *nodeFlags) transport() (*http.Transport, error) {
	transport := &http.Transport{}
	if f.authorityFile == "" {
		return transport, nil
	}
	content, err := os.ReadFile(f.authorityFile)
	if err != nil {
		return nil, eris.Wrap(err, "read authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(content) {
		return nil, eris.Errorf("%s holds no certificate", f.authorityFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12}
	return transport, nil
}

func firstNonEmpty(values ...string) string {
	for _, value := range values {
		if value != "" {
			return value
		}
	}
	return ""
}

// registerOutput adds the flag --output.
func registerOutput(command *cobra.Command, output *string) {
	command.Flags().StringVarP(output, "output", "o", outputTable, "form of the output: table or json")
	completeWords(command, "output", outputTable, outputJSON)
}

func checkOutput(output string) error {
	if output != outputTable && output != outputJSON {
		return usageError("--output %q is not one of table, json", output)
	}
	return nil
}

func printJSON(output io.Writer, document any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}
