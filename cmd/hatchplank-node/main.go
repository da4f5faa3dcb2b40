// Command hatchplank-node runs one hatchplank node on the users' platform. The operators' command
// line is the separate program hatchplank, so that a node's binary contains, and keeps in memory,
// only what a node needs.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "hatchplank-node:", err)
		os.Exit(1)
	}
}
