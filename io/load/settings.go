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
	flagWorkload      = "workload"
	flagServices      = "services"
	flagHosts         = "hosts"
	flagTargets       = "target"
	flagTargetCounts  = "targets"
	flagRate          = "rate"
	flagDuration      = "duration"
	flagSeed          = "seed"
	flagCallers       = "callers"
	flagTimeout       = "timeout"
	flagAttempts      = "attempts"
	flagHotSetPeriod  = "shift"
	flagDelay         = "delay"
	flagTimeScale     = "time-scale"
	flagSizeScale     = "size-scale"
	flagProbes        = "probe"
	flagProbeInterval = "probe-every"
	flagOut           = "out"
	flagPlot          = "plot"
	flagQuiet         = "quiet"
)

// env returns the environment variable that sets a flag.
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

// commonFlags returns the flags shared by the commands that have a workload.
func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagWorkload, Value: "caroni", Sources: env(flagWorkload), Usage: "workload: " + strings.Join(workload.Names(), " or ")},
		listFlag(flagServices, "services of the workload to send to; default all"),
		floatFlag(flagRate, "mean arrival rate over all services, in requests per second; 0 sends probes only", DefaultRate),
		durationFlag(flagDuration, "duration of the run", DefaultDuration),
		&cli.Uint64Flag{Name: flagSeed, Value: 1, Sources: env(flagSeed), Usage: "seed of the schedule"},
		intFlag(flagCallers, "maximum number of concurrent requests", DefaultCallers),
		durationFlag(flagTimeout, "maximum duration of an attempt", DefaultTimeout),
		intFlag(flagAttempts, "maximum number of attempts of a request; retries are sent after the Retry-After delay", DefaultAttempts),
		durationFlag(flagHotSetPeriod, "time after which the set of hot keys changes", DefaultHotSetPeriod),
		durationFlag(flagDelay, "one-way network delay between callers and hosts; added to the reported latencies, not simulated", 0),
		floatFlag(flagTimeScale, "factor for the service times of targets", 1),
		floatFlag(flagSizeScale, "factor for the sizes of large responses", 1),
		listFlag(flagTargetCounts, "number of targets of a service, service=count, used to compute the load imbalance"),
		intFlag(flagProbes, "number of probed keys per service", 0),
		durationFlag(flagProbeInterval, "interval between the probes of a key", DefaultProbeInterval),
		stringFlag(flagOut, "NAME of the output files NAME.record.jsonl and NAME.report.json"),
		stringFlag(flagPlot, "file to which the plot is written, .svg or .png"),
		&cli.BoolFlag{Name: flagQuiet, Usage: "disable progress lines", Sources: env(flagQuiet)},
	}
}

// settings reads the flags of a command and collects all errors in their values.
type settings struct {
	command *cli.Command
	errs    []string
}

func (s *settings) addError(format string, args ...any) {
	s.errs = append(s.errs, fmt.Sprintf(format, args...))
}

// err returns the collected errors as one error with ExitUsage, or nil.
func (s *settings) err() error {
	if len(s.errs) == 0 {
		return nil
	}
	return cli.Exit(strings.Join(s.errs, "\n"), ExitUsage)
}

// options reads the flags of commonFlags.
func (s *settings) options() Options {
	c := s.command
	options := Options{
		Schedule: workload.Options{
			Seed: c.Uint64(flagSeed), Rate: c.Float(flagRate), Duration: c.Duration(flagDuration),
			HotSetPeriod: c.Duration(flagHotSetPeriod), Run: fmt.Sprintf("%x", time.Now().UnixNano()),
		},
		Callers: c.Int(flagCallers), Timeout: c.Duration(flagTimeout), Attempts: c.Int(flagAttempts),
		Probes: c.Int(flagProbes), ProbeInterval: c.Duration(flagProbeInterval), Delay: c.Duration(flagDelay),
		Workload: s.workload(), Targets: s.targetCounts(),
	}
	s.requireAtLeast(flagRate, options.Schedule.Rate, 0)
	s.requireAtLeast(flagCallers, float64(options.Callers), 1)
	s.requireAtLeast(flagAttempts, float64(options.Attempts), 1)
	s.requireAtLeast(flagProbes, float64(options.Probes), 0)
	s.requireAtLeast(flagDelay, options.Delay.Seconds(), 0)
	s.requirePositive(flagDuration, options.Schedule.Duration)
	s.requirePositive(flagHotSetPeriod, options.Schedule.HotSetPeriod)
	s.requirePositive(flagTimeout, options.Timeout)
	s.requirePositive(flagProbeInterval, options.ProbeInterval)
	if options.Schedule.Rate == 0 && options.Probes == 0 {
		s.addError("--%s: 0 requires --%s, otherwise nothing is sent", flagRate, flagProbes)
	}
	s.checkPlotFormat()
	return options
}

func (s *settings) requireAtLeast(name string, value, minimum float64) {
	if value < minimum {
		s.addError("--%s: %v, must be at least %v", name, value, minimum)
	}
}

func (s *settings) requirePositive(name string, value time.Duration) {
	if value <= 0 {
		s.addError("--%s: %v, must be greater than 0", name, value)
	}
}

func (s *settings) checkPlotFormat() {
	name := s.command.String(flagPlot)
	if extension := filepath.Ext(name); name != "" && extension != ".svg" && extension != ".png" {
		s.addError("--%s: %s, must be a .svg or .png file", flagPlot, name)
	}
}

func (s *settings) workload() *workload.Workload {
	c := s.command
	load, err := workload.Named(c.String(flagWorkload))
	if err != nil {
		s.addError("--%s: %v", flagWorkload, err)
		return nil
	}
	if c.Float(flagTimeScale) <= 0 || c.Float(flagSizeScale) <= 0 {
		s.addError("--%s and --%s: must be greater than 0", flagTimeScale, flagSizeScale)
	}
	load, err = load.Scale(c.Float(flagTimeScale), c.Float(flagSizeScale)).WithServices(c.StringSlice(flagServices))
	if err != nil {
		s.addError("--%s: %v", flagServices, err)
	}
	return load
}

func (s *settings) targetCounts() map[string]int {
	counts := map[string]int{}
	for _, item := range s.command.StringSlice(flagTargetCounts) {
		service, text, _ := strings.Cut(item, "=")
		count, err := strconv.Atoi(text)
		if err != nil || count < 1 {
			s.addError("--%s: %s, must be service=count with a count of at least 1", flagTargetCounts, item)
			continue
		}
		counts[service] = count
	}
	return counts
}

func (s *settings) hosts() []string {
	hosts := s.command.StringSlice(flagHosts)
	if len(hosts) == 0 {
		s.addError("--%s: at least one host:port is required", flagHosts)
	}
	for _, host := range hosts {
		s.checkAddress(flagHosts, host)
	}
	return hosts
}

func (s *settings) targets() map[string][]string {
	targets := map[string][]string{}
	for _, item := range s.command.StringSlice(flagTargets) {
		service, address, ok := strings.Cut(item, "=")
		if !ok {
			s.addError("--%s: %s, must be service=host:port", flagTargets, item)
			continue
		}
		s.checkAddress(flagTargets, address)
		targets[service] = append(targets[service], address)
	}
	if len(targets) == 0 {
		s.addError("--%s: at least one service=host:port is required", flagTargets)
	}
	return targets
}

func (s *settings) checkAddress(name, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		s.addError("--%s: %s: %v", name, address, errors.UnwrapAll(err))
	}
}
