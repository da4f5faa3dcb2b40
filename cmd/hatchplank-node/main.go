// Command hatchplank-node runs one hatchplank node on the users' platform. The
// operators' command line is hatchplank; this program has only what a node
// needs, since the memory of each node is paid for.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := newRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "hatchplank-node:", err)
		os.Exit(1)
	}
}
