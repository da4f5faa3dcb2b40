package command

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/inspect"
)

const (
	// defaultMetricsNode is where a node on the users' platform has its metrics.
	defaultMetricsNode = "http://127.0.0.1:9464"
	inspectTimeout     = 10 * time.Second
)

// NewInspectCommand returns the command that shows what a node on the users'
// platform knows.
func NewInspectCommand() *cobra.Command {
	var node, output string
	command := &cobra.Command{
		Use:   "inspect",
		Short: "Show what a node on the users' platform knows",
		Long: "Show what one node on the users' platform knows: the configuration in force, who orders\n" +
			"the model servers, what each server holds, and what the node's callers wait for. Why a\n" +
			"model is where it is, the node knows that orders.",
		Example: "  hatchplank inspect --node http://10.0.0.1:9464",
		Args:    usageArguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			return runInspect(command, node, output)
		},
	}
	command.Flags().StringVar(&node, "node", defaultMetricsNode, "URL of the node's metrics address")
	registerOutput(command, &output)
	return command
}

func runInspect(command *cobra.Command, node, output string) error {
	if err := checkOutput(output); err != nil {
		return err
	}
	page, err := fetchPage(command.Context(), node)
	if err != nil {
		return err
	}
	if output == outputJSON {
		return printJSON(command.OutOrStdout(), page)
	}
	return page.Print(command.OutOrStdout())
}

func fetchPage(ctx context.Context, node string) (inspect.Page, error) {
	var page inspect.Page
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(node, "/")+"/status", nil)
	if err != nil {
		return page, eris.Wrap(err, "ask the node")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return page, eris.Wrap(err, "ask the node")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return page, eris.Errorf("the node answered with status %d", response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&page)
	return page, eris.Wrap(err, "read the node's answer")
}
