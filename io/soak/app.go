package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

// ErrViolation is returned if a guarantee was violated in the run of a seed.
var ErrViolation = errors.New("guarantees were violated")

// App returns the command line of pinesoak.
func App() *cli.Command {
	return &cli.Command{
		Name:  "pinesoak",
		Usage: "run hosts as processes under random faults, and check the guarantees to callers and targets",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Value: "1-5", Usage: "seeds to run, such as 7 or 1-50, separated by commas", Sources: cli.EnvVars("PINESOAK_SEEDS")},
			&cli.DurationFlag{Name: "duration", Value: 15 * time.Second, Usage: "period within which faults start", Sources: cli.EnvVars("PINESOAK_DURATION")},
			&cli.IntFlag{Name: "hosts", Value: 4, Usage: "number of hosts per seed", Sources: cli.EnvVars("PINESOAK_HOSTS")},
			&cli.IntFlag{Name: "targets", Value: 9, Usage: "number of targets per seed", Sources: cli.EnvVars("PINESOAK_TARGETS")},
			&cli.IntFlag{Name: "callers", Value: 12, Usage: "number of callers per seed", Sources: cli.EnvVars("PINESOAK_CALLERS")},
			&cli.IntFlag{Name: "parallel", Value: 2, Usage: "number of seeds that run concurrently", Sources: cli.EnvVars("PINESOAK_PARALLEL")},
			&cli.StringFlag{Name: "programs", Usage: "folder of the programs pineturnd and standin; default the folder of this program", Sources: cli.EnvVars("PINESOAK_PROGRAMS")},
			&cli.StringFlag{Name: "folder", Usage: "folder for logs; default a new temporary folder", Sources: cli.EnvVars("PINESOAK_FOLDER")},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	seeds, err := ParseSeeds(command.String("seeds"))
	if err != nil {
		return err
	}
	options, err := readOptions(command)
	if err != nil {
		return err
	}
	fmt.Println("logs in", options.LogFolder)
	return RunAll(ctx, options, seeds, command.Int("parallel"))
}

func readOptions(command *cli.Command) (Options, error) {
	options := Options{
		Duration: command.Duration("duration"), Hosts: command.Int("hosts"), Targets: command.Int("targets"),
		Callers: command.Int("callers"), ProgramFolder: command.String("programs"), LogFolder: command.String("folder"),
	}
	if options.Duration <= 0 || options.Hosts < 1 || options.Targets < 3 || options.Callers < 1 || command.Int("parallel") < 1 {
		return options, errors.New("--duration must be greater than 0, --targets at least 3, and --hosts, --callers and --parallel at least 1")
	}
	if options.ProgramFolder == "" {
		self, err := os.Executable()
		if err != nil {
			return options, errors.Wrap(err, "find program folder")
		}
		options.ProgramFolder = filepath.Dir(self)
	}
	if options.LogFolder == "" {
		folder, err := os.MkdirTemp("", "pinesoak")
		if err != nil {
			return options, errors.Wrap(err, "create log folder")
		}
		options.LogFolder = folder
	}
	return options, nil
}

// ParseSeeds parses a list of seeds and ranges of seeds, such as 1-5,9.
func ParseSeeds(list string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range strings.Split(list, ",") {
		from, to, isRange := strings.Cut(part, "-")
		if !isRange {
			to = from
		}
		first, err := strconv.ParseUint(from, 10, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "seeds %q", part)
		}
		last, err := strconv.ParseUint(to, 10, 64)
		if err != nil || last < first {
			return nil, errors.Newf("seeds %q: must be FIRST-LAST", part)
		}
		for seed := first; seed <= last; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

// RunAll runs seeds, at most parallel of them concurrently, and prints a report of
// each. It returns ErrViolation if any of them violated a guarantee.
func RunAll(ctx context.Context, options Options, seeds []uint64, parallel int) error {
	var group errgroup.Group
	group.SetLimit(parallel)
	reports := make([]Report, len(seeds))
	for i, seed := range seeds {
		group.Go(func() error {
			seedOptions := options
			seedOptions.Seed = seed
			report, err := Run(ctx, seedOptions)
			reports[i] = report
			report.print()
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, report := range reports {
		if len(report.Violations) > 0 {
			return ErrViolation
		}
	}
	return nil
}

func (r Report) print() {
	fmt.Printf("seed %d: %d steps, %v, %d violations\n", r.Seed, r.Steps, r.Counts, len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Printf("seed %d: %s\n", r.Seed, violation)
	}
}
