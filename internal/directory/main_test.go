package directory

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets what the properties use unless the command line says
// otherwise: a fixed seed, and no files of failures.
func TestMain(m *testing.M) {
	for _, setting := range [][2]string{{"rapid.seed", "1"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(setting[0], setting[1]); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
