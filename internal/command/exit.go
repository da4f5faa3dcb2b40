package command

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"
)

// exitError is an error that ends the program with a code of its own.
type exitError struct {
	code int
	err  error
}

// Error returns the wrapped error's text.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// usageError is an error in how the command was called.
func usageError(format string, arguments ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf(format, arguments...)}
}

// exitCode returns the code with which the program ends after an error.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

// usageArguments makes a wrong number of arguments an error of usage.
func usageArguments(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, arguments []string) error {
		if err := check(command, arguments); err != nil {
			return usageError("%w; see '%s --help'", err, command.CommandPath())
		}
		return nil
	}
}

// group makes a command that only holds others show its help, and a word that
// is none of them an error of usage.
func group(command *cobra.Command) {
	command.Args = usageArguments(cobra.NoArgs)
	command.RunE = func(command *cobra.Command, _ []string) error { return command.Help() }
}

// usageFlags makes an unknown or malformed flag an error of usage.
func usageFlags(command *cobra.Command, err error) error {
	return usageError("%w; see '%s --help'", err, command.CommandPath())
}
