package command

import "github.com/spf13/cobra"

// completeWords makes the shell offer the words as a flag's values. The
// completion command itself comes with cobra.
func completeWords(command *cobra.Command, flag string, words ...string) {
	// The only error is a flag that does not exist, which a test would show.
	_ = command.RegisterFlagCompletionFunc(flag, cobra.FixedCompletions(words, cobra.ShellCompDirectiveNoFileComp))
}
