// Package fixedseed, imported for its effect by test files, gives property
// tests the same cases in every run and keeps them from writing files. The
// flags of rapid on the command line still win.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

// settings are the flags set and their values.
var settings = []struct{ name, value string }{
	{"rapid.seed", "1"},
	{"rapid.nofailfile", "true"},
}

func init() {
	for _, setting := range settings {
		if err := flag.Set(setting.name, setting.value); err != nil {
			panic(err) // rapid no longer has the flag
		}
	}
}
