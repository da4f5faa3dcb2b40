// Command hatchplank serves rarely used language models on shared accelerators.
package main

import (
	"os"

	"github.com/hatchplank/hatchplank/internal/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:]))
}
