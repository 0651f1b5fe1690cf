package load

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/core/workload"
)

// Names of the flags.
const (
	flagWorkload   = "workload"
	flagServices   = "services"
	flagHosts      = "hosts"
	flagTargets    = "target"
	flagCounts     = "targets"
	flagRate       = "rate"
	flagDuration   = "duration"
	flagSeed       = "seed"
	flagCallers    = "callers"
	flagTimeout    = "timeout"
	flagAttempts   = "attempts"
	flagShift      = "shift"
	flagDelay      = "delay"
	flagTimeScale  = "time-scale"
	flagSizeScale  = "size-scale"
	flagProbe      = "probe"
	flagProbeEvery = "probe-every"
	flagOut        = "out"
	flagPlot       = "plot"
	flagQuiet      = "quiet"
)

// env returns the environment variable of a flag.
func env(name string) cli.ValueSourceChain {
	return cli.EnvVars("PINETURN_LOAD_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

func stringFlag(name, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Sources: env(name)}
}

func listFlag(name, usage string) cli.Flag {
	return &cli.StringSliceFlag{Name: name, Usage: usage, Sources: env(name)}
}

func floatFlag(name, usage string, value float64) cli.Flag {
	return &cli.FloatFlag{Name: name, Usage: usage, Value: value, Sources: env(name)}
}

func intFlag(name, usage string, value int) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: value, Sources: env(name)}
}

func durationFlag(name, usage string, value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Sources: env(name)}
}

// commonFlags are those of each command that sends.
func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagWorkload, Value: "caroni", Sources: env(flagWorkload), Usage: "workload: " + strings.Join(workload.Names(), " or ")},
		listFlag(flagServices, "only these services of the workload"),
		floatFlag(flagRate, "arrivals a second over all services; 0 sends probes only", DefaultRate),
		durationFlag(flagDuration, "length of the run", DefaultDuration),
		&cli.Uint64Flag{Name: flagSeed, Value: 1, Sources: env(flagSeed), Usage: "seed of the schedule"},
		intFlag(flagCallers, "requests on their way at once at most", DefaultCallers),
		durationFlag(flagTimeout, "how long a caller waits for one answer", DefaultTimeout),
		intFlag(flagAttempts, "attempts of a request at most, as Retry-After tells", DefaultAttempts),
		durationFlag(flagShift, "how long the hot keys stay before they move", DefaultShift),
		durationFlag(flagDelay, "one-way delay to callers, added to latencies by arithmetic, without waiting", 0),
		floatFlag(flagTimeScale, "factor on the targets' service times", 1),
		floatFlag(flagSizeScale, "factor on the sizes of large answers", 1),
		listFlag(flagCounts, "how many targets a service has, for the imbalance: service=count"),
		intFlag(flagProbe, "keys of each service that are probed", 0),
		durationFlag(flagProbeEvery, "interval between the probes of a key", DefaultProbeEvery),
		stringFlag(flagOut, "writes NAME.record.jsonl and NAME.report.json for this NAME"),
		stringFlag(flagPlot, "writes a plot to this .svg or .png file"),
		&cli.BoolFlag{Name: flagQuiet, Usage: "no progress lines", Sources: env(flagQuiet)},
	}
}

// settings gathers the faults of a command's settings.
type settings struct {
	command *cli.Command
	faults  []string
}

func (s *settings) fault(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// err returns all faults as one error, or nil.
func (s *settings) err() error {
	if len(s.faults) == 0 {
		return nil
	}
	return cli.Exit(strings.Join(s.faults, "\n"), ExitUsage)
}

// options reads the settings that the sending commands share.
func (s *settings) options() Options {
	c := s.command
	options := Options{
		Schedule: workload.Options{
			Seed: c.Uint64(flagSeed), Rate: c.Float(flagRate), Duration: c.Duration(flagDuration),
			HotSetPeriod: c.Duration(flagShift), Run: fmt.Sprintf("%x", time.Now().UnixNano()),
		},
		Callers: c.Int(flagCallers), Timeout: c.Duration(flagTimeout), Attempts: c.Int(flagAttempts),
		Probes: c.Int(flagProbe), ProbeEvery: c.Duration(flagProbeEvery), Delay: c.Duration(flagDelay),
		Workload: s.workload(), Targets: s.counts(),
	}
	s.atLeast(flagRate, options.Schedule.Rate, 0)
	s.atLeast(flagCallers, float64(options.Callers), 1)
	s.atLeast(flagAttempts, float64(options.Attempts), 1)
	s.atLeast(flagProbe, float64(options.Probes), 0)
	s.atLeast(flagDelay, options.Delay.Seconds(), 0)
	s.positive(flagDuration, options.Schedule.Duration)
	s.positive(flagShift, options.Schedule.HotSetPeriod)
	s.positive(flagTimeout, options.Timeout)
	s.positive(flagProbeEvery, options.ProbeEvery)
	if options.Schedule.Rate == 0 && options.Probes == 0 {
		s.fault("--%s 0 needs --%s: there is nothing to send", flagRate, flagProbe)
	}
	s.plotFormat()
	return options
}

func (s *settings) atLeast(name string, value, least float64) {
	if value < least {
		s.fault("--%s %v: want at least %v", name, value, least)
	}
}

func (s *settings) positive(name string, value time.Duration) {
	if value <= 0 {
		s.fault("--%s %v: want more than 0", name, value)
	}
}

func (s *settings) plotFormat() {
	name := s.command.String(flagPlot)
	if extension := filepath.Ext(name); name != "" && extension != ".svg" && extension != ".png" {
		s.fault("--%s %s: want a .svg or .png file", flagPlot, name)
	}
}

func (s *settings) workload() *workload.Workload {
	c := s.command
	load, err := workload.Named(c.String(flagWorkload))
	if err != nil {
		s.fault("--%s: %v", flagWorkload, err)
		return nil
	}
	if c.Float(flagTimeScale) <= 0 || c.Float(flagSizeScale) <= 0 {
		s.fault("--%s and --%s: want more than 0", flagTimeScale, flagSizeScale)
	}
	load, err = load.Scale(c.Float(flagTimeScale), c.Float(flagSizeScale)).WithServices(c.StringSlice(flagServices))
	if err != nil {
		s.fault("--%s: %v", flagServices, err)
	}
	return load
}

func (s *settings) counts() map[string]int {
	counts := map[string]int{}
	for _, item := range s.command.StringSlice(flagCounts) {
		service, text, _ := strings.Cut(item, "=")
		count, err := strconv.Atoi(text)
		if err != nil || count < 1 {
			s.fault("--%s %s: want service=count", flagCounts, item)
			continue
		}
		counts[service] = count
	}
	return counts
}

func (s *settings) hosts() []string {
	hosts := s.command.StringSlice(flagHosts)
	if len(hosts) == 0 {
		s.fault("--%s: want at least one host:port", flagHosts)
	}
	for _, host := range hosts {
		s.address(flagHosts, host)
	}
	return hosts
}

func (s *settings) targets() map[string][]string {
	targets := map[string][]string{}
	for _, item := range s.command.StringSlice(flagTargets) {
		service, address, ok := strings.Cut(item, "=")
		if !ok {
			s.fault("--%s %s: want service=host:port", flagTargets, item)
			continue
		}
		s.address(flagTargets, address)
		targets[service] = append(targets[service], address)
	}
	if len(targets) == 0 {
		s.fault("--%s: want at least one service=host:port", flagTargets)
	}
	return targets
}

func (s *settings) address(name, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		s.fault("--%s %s: %v", name, address, errors.UnwrapAll(err))
	}
}
