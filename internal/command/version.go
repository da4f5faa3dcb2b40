package command

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

const unknownVersion = "unknown"

// versionInfo says what was built.
type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

// NewVersionCommand returns the command that shows what was built.
func NewVersionCommand() *cobra.Command {
	var output string
	command := &cobra.Command{
		Use:     "version",
		Short:   "Show the version",
		Example: "  hatchplank version\n  hatchplank version --output json",
		Args:    usageArguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			info := readVersion(debug.ReadBuildInfo())
			if output == outputJSON {
				return printJSON(command.OutOrStdout(), info)
			}
			fmt.Fprintf(command.OutOrStdout(), "hatchplank %s, revision %s%s, %s\n",
				info.Version, info.Revision, suffixIf(info.Modified, " (modified)"), info.Go)
			return nil
		},
	}
	registerOutput(command, &output)
	return command
}

func readVersion(build *debug.BuildInfo, known bool) versionInfo {
	info := versionInfo{Version: unknownVersion, Revision: unknownVersion, Go: unknownVersion}
	if !known {
		return info
	}
	info.Version = build.Main.Version
	info.Go = build.GoVersion
	for _, setting := range build.Settings {
		switch setting.Key {
		case "vcs.revision":
			info.Revision = setting.Value
		case "vcs.modified":
			info.Modified = setting.Value == "true"
		}
	}
	return info
}
