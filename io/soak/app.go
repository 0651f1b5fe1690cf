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

// ErrBroken says that some seed broke a promise.
var ErrBroken = errors.New("promises were broken")

// App returns the command line.
func App() *cli.Command {
	return &cli.Command{
		Name:  "pinesoak",
		Usage: "run hosts as processes under random faults, and check what callers and targets see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Value: "1-5", Usage: "seeds to play, as 7 or 1-50, separated by commas", Sources: cli.EnvVars("PINESOAK_SEEDS")},
			&cli.DurationFlag{Name: "duration", Value: 15 * time.Second, Usage: "time in which faults begin", Sources: cli.EnvVars("PINESOAK_DURATION")},
			&cli.IntFlag{Name: "hosts", Value: 4, Usage: "hosts of a seed", Sources: cli.EnvVars("PINESOAK_HOSTS")},
			&cli.IntFlag{Name: "targets", Value: 9, Usage: "targets of a seed", Sources: cli.EnvVars("PINESOAK_TARGETS")},
			&cli.IntFlag{Name: "callers", Value: 12, Usage: "callers of a seed", Sources: cli.EnvVars("PINESOAK_CALLERS")},
			&cli.IntFlag{Name: "parallel", Value: 2, Usage: "seeds played at a time", Sources: cli.EnvVars("PINESOAK_PARALLEL")},
			&cli.StringFlag{Name: "programs", Usage: "folder of pineturnd and standin; empty for that of this program", Sources: cli.EnvVars("PINESOAK_PROGRAMS")},
			&cli.StringFlag{Name: "folder", Usage: "folder of the logs; empty for a new one", Sources: cli.EnvVars("PINESOAK_FOLDER")},
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
	fmt.Println("logs in", options.Folder)
	return RunAll(ctx, options, seeds, command.Int("parallel"))
}

func readOptions(command *cli.Command) (Options, error) {
	options := Options{
		Duration: command.Duration("duration"), Hosts: command.Int("hosts"), Targets: command.Int("targets"),
		Callers: command.Int("callers"), Programs: command.String("programs"), Folder: command.String("folder"),
	}
	if options.Duration <= 0 || options.Hosts < 1 || options.Targets < 3 || options.Callers < 1 || command.Int("parallel") < 1 {
		return options, errors.New("want a duration, 1 host, 3 targets, 1 caller and 1 seed at a time at least")
	}
	if options.Programs == "" {
		self, err := os.Executable()
		if err != nil {
			return options, errors.Wrap(err, "find the programs")
		}
		options.Programs = filepath.Dir(self)
	}
	if options.Folder == "" {
		folder, err := os.MkdirTemp("", "pinesoak")
		if err != nil {
			return options, errors.Wrap(err, "make a folder of logs")
		}
		options.Folder = folder
	}
	return options, nil
}

// ParseSeeds reads a list of seeds such as 1-5,9.
func ParseSeeds(list string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range strings.Split(list, ",") {
		from, to, ranged := strings.Cut(part, "-")
		if !ranged {
			to = from
		}
		first, err := strconv.ParseUint(from, 10, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "seeds %q", part)
		}
		last, err := strconv.ParseUint(to, 10, 64)
		if err != nil || last < first {
			return nil, errors.Newf("seeds %q: want FIRST-LAST", part)
		}
		for seed := first; seed <= last; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

// RunAll plays seeds, some at a time, and prints what came of each.
func RunAll(ctx context.Context, options Options, seeds []uint64, parallel int) error {
	var group errgroup.Group
	group.SetLimit(parallel)
	reports := make([]Report, len(seeds))
	for i, seed := range seeds {
		group.Go(func() error {
			own := options
			own.Seed = seed
			report, err := Run(ctx, own)
			reports[i] = report
			report.print()
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, report := range reports {
		if len(report.Broken) > 0 {
			return ErrBroken
		}
	}
	return nil
}

func (r Report) print() {
	fmt.Printf("seed %d: %d steps, %v, %d promises broken\n", r.Seed, r.Steps, r.Counts, len(r.Broken))
	for _, broken := range r.Broken {
		fmt.Printf("seed %d: %s\n", r.Seed, broken)
	}
}
