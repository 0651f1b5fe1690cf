package load

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/core/report"
)

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "compares two reports side by side",
		ArgsUsage: "A.report.json B.report.json",
		Action:    compareReports,
	}
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "prints or plots a saved report",
		ArgsUsage: "NAME.report.json",
		Flags:     []cli.Flag{stringFlag(flagPlot, "file to which the plot is written, .svg or .png")},
		Action:    showReport,
	}
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:   "capacity",
		Usage:  "prints the arrival rate, in requests per second, at which the most loaded service of a workload uses all slots",
		Flags:  append(commonFlags(), intFlag("slots", "slots of each target; 0 for the number defined by the workload", 0)),
		Action: printCapacity,
	}
}

func compareReports(_ context.Context, command *cli.Command) error {
	if command.NArg() != 2 {
		return cli.Exit("compare: requires two report files", ExitUsage)
	}
	left, err := readReport(command.Args().Get(0))
	if err != nil {
		return err
	}
	right, err := readReport(command.Args().Get(1))
	if err != nil {
		return err
	}
	return report.Compare(command.Root().Writer, left, right)
}

func showReport(_ context.Context, command *cli.Command) error {
	flags := settings{command: command}
	flags.checkPlotFormat()
	if command.NArg() != 1 {
		flags.addError("report: requires one report file")
	}
	if err := flags.err(); err != nil {
		return err
	}
	result, err := readReport(command.Args().First())
	if err != nil {
		return err
	}
	return writeReport(command, result)
}

func printCapacity(_ context.Context, command *cli.Command) error {
	flags := settings{command: command}
	options := flags.options()
	flags.requireAtLeast("slots", float64(command.Int("slots")), 0)
	if err := flags.err(); err != nil {
		return err
	}
	slots := command.Int("slots")
	if slots == 0 {
		slots = options.Workload.Slots()
	}
	_, err := fmt.Fprintf(command.Root().Writer, "%.0f\n", options.Workload.Capacity(options.Targets, slots))
	return errors.Wrap(err, "write capacity")
}

func readReport(name string) (*report.Report, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open report")
	}
	defer func() { _ = file.Close() }()
	result, err := report.ReadJSON(file)
	return result, errors.Wrapf(err, "read %s", name)
}
