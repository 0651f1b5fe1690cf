package host

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless the flag
// -rapid.seed is given, so that all runs have the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	seedSet := false
	flag.Visit(func(f *flag.Flag) { seedSet = seedSet || f.Name == "rapid.seed" })
	if !seedSet {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
