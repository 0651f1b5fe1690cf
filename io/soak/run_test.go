package soak

import (
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"
)

// readSeeds reads the seeds of testdata/seeds.txt.
func readSeeds(t *testing.T) []uint64 {
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

// TestSeeds runs the seeds of testdata/seeds.txt, which include every seed that ever
// failed, against the real programs.
func TestSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for more than 10 s per seed")
	}
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "pineturn/cmd/pineturnd", "pineturn/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: got %v, want no error\n%s", err, out)
	}
	options := Options{
		Duration: 10 * time.Second, Hosts: 4, Targets: 9, Callers: 8, ProgramFolder: programs, LogFolder: t.TempDir(),
	}
	for _, seed := range readSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			seedOptions := options
			seedOptions.Seed = seed
			report, err := Run(t.Context(), seedOptions)
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range report.Violations {
				t.Errorf("violations: got %s, want none", violation)
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
