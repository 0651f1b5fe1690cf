package owner

import (
	"flag"
	"os"
	"testing"
)

// modelChecks is the number of cases that the model test runs unless the
// command line sets -rapid.checks.
const modelChecks = "3000"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		if err := flag.Set("rapid.checks", modelChecks); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
