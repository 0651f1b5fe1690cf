package soak

import (
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"
)

// regressions reads the seeds that are kept.
func regressions(t *testing.T) []uint64 {
	t.Helper()
	data, err := os.ReadFile("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	var seeds []uint64
	for line := range strings.Lines(string(data)) {
		first, _, _ := strings.Cut(line, " ")
		seed, err := strconv.ParseUint(first, 10, 64)
		if err == nil {
			seeds = append(seeds, seed)
		}
	}
	if len(seeds) == 0 {
		t.Fatal("seeds: got none, want some")
	}
	return seeds
}

// TestSeeds plays the kept seeds with real programs.
func TestSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("runs programs for some time")
	}
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "pineturn/cmd/pineturnd", "pineturn/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: got %v, want no error\n%s", err, out)
	}
	options := Options{
		Duration: 10 * time.Second, Hosts: 4, Targets: 9, Callers: 8, Programs: programs, Folder: t.TempDir(),
	}
	for _, seed := range regressions(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			own := options
			own.Seed = seed
			report, err := Run(t.Context(), own)
			if err != nil {
				t.Fatal(err)
			}
			for _, broken := range report.Broken {
				t.Errorf("promise: got it broken, want it kept: %s", broken)
			}
			if got := report.Counts["runs"]; got == 0 {
				t.Error("requests run: got none, want some")
			}
		})
	}
}

func TestParseSeeds(t *testing.T) {
	for list, want := range map[string]int{"7": 1, "1-50": 50, "1-3,9": 4, "3-1": 0, "x": 0, "": 0} {
		seeds, err := ParseSeeds(list)
		if got := len(seeds); got != want || (err == nil) != (want > 0) {
			t.Errorf("seeds of %q: got %d, %v, want %d", list, got, err, want)
		}
	}
}
