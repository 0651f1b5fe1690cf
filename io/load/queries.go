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
		Usage:     "puts two reports side by side",
		ArgsUsage: "A.report.json B.report.json",
		Action:    compare,
	}
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "shows a written report again, or draws it",
		ArgsUsage: "NAME.report.json",
		Flags:     []cli.Flag{stringFlag(flagPlot, "writes a plot to this .svg or .png file")},
		Action:    show,
	}
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:   "capacity",
		Usage:  "tells the rate at which the busiest service of a workload uses every slot",
		Flags:  append(commonFlags(), intFlag("slots", "slots of each target; 0 for the workload's own", 0)),
		Action: capacity,
	}
}

func compare(_ context.Context, command *cli.Command) error {
	if command.NArg() != 2 {
		return cli.Exit("compare wants two report files", ExitUsage)
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

func show(_ context.Context, command *cli.Command) error {
	read := settings{command: command}
	read.plotFormat()
	if command.NArg() != 1 {
		read.fault("report wants one report file")
	}
	if err := read.err(); err != nil {
		return err
	}
	result, err := readReport(command.Args().First())
	if err != nil {
		return err
	}
	return deliver(command, result)
}

func capacity(_ context.Context, command *cli.Command) error {
	read := settings{command: command}
	options := read.options()
	read.atLeast("slots", float64(command.Int("slots")), 0)
	if err := read.err(); err != nil {
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
