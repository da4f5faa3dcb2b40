package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/api"
)

// drainPollPeriod is how often a draining node is asked whether it still runs.
const drainPollPeriod = time.Second

// drainResult is the JSON form of the command's result.
type drainResult struct {
	Draining bool `json:"draining"`
	// Stopped: the node's process was seen to end.
	Stopped bool `json:"stopped"`
}

// NewDrainCommand returns the command that stops a node in order.
func NewDrainCommand() *cobra.Command {
	var node nodeFlags
	var output string
	var wait time.Duration
	command := &cobra.Command{
		Use:   "drain",
		Short: "Stop a node in order",
		Long: "Tell a node to take no new work, to let what runs finish, to hand its roles over\n" +
			"and to end. It is the same as SIGTERM to its process. Needs the role admin.",
		Example: "  hatchplank drain --node http://127.0.0.1:8081 --token-file admin.token\n" +
			"  hatchplank drain --node http://127.0.0.1:8081 --wait 5m",
		Args: usageArguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			return runDrain(command, node, output, wait)
		},
	}
	node.register(command)
	registerOutput(command, &output)
	command.Flags().DurationVar(&wait, "wait", 0, "wait so long for the node to end; 0: don't wait")
	return command
}

func runDrain(command *cobra.Command, node nodeFlags, output string, wait time.Duration) error {
	if err := checkOutput(output); err != nil {
		return err
	}
	client, err := node.client()
	if err != nil {
		return err
	}
	if err := client.Drain(command.Context()); err != nil {
		return err
	}
	drained := drainResult{Draining: true}
	if wait > 0 {
		if err := awaitStop(command.Context(), client, wait, command.ErrOrStderr()); err != nil {
			return err
		}
		drained.Stopped = true
	}
	if output == outputJSON {
		return printJSON(command.OutOrStdout(), drained)
	}
	fmt.Fprintf(command.OutOrStdout(), "%s is draining%s\n", client.BaseURL, suffixIf(drained.Stopped, " and has stopped"))
	return nil
}

// awaitStop waits until the node no longer answers.
func awaitStop(ctx context.Context, client *api.Client, wait time.Duration, progress io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	started := time.Now()
	ticker := time.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	for {
		err := client.Healthy(ctx)
		var answered *api.ResponseError
		if err != nil && ctx.Err() == nil && !errors.As(err, &answered) {
			return nil
		}
		fmt.Fprintf(progress, "%4.0fs  still running\n", time.Since(started).Seconds())
		select {
		case <-ctx.Done():
			return eris.Errorf("the node still runs after %s", wait)
		case <-ticker.C:
		}
	}
}
