package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"pineturn/core/audit"
	"pineturn/io/standin/auditfile"
)

// maxPrinted is how many findings the text output lists.
const maxPrinted = 50

var errFindings = errors.New("the audit has findings")

func checkCommand() *cli.Command {
	f := flags("check")
	return &cli.Command{
		Name:      "check",
		Usage:     "check the audits (" + auditfile.Audits + ") and callers' records (" + auditfile.Records + ") in a folder",
		ArgsUsage: "DIR",
		Description: "Exit status 0: clean, 1: findings, 2: bad input, such as an audit that holds no accepted grant or no " +
			"request run.",
		Flags: []cli.Flag{
			f.duration("drain-bound", audit.DrainBound, "time after the drain began from which a target gets no requests"),
			f.text("output", "text", "text or json"),
			f.number("min-records", 0, "callers' records without which the input is bad"),
		},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, command *cli.Command) error {
	var found faults
	output := command.String("output")
	found.check(command.Args().Len() == 1, "want one folder, got %d arguments", command.Args().Len())
	found.check(output == "text" || output == "json", "--output %q: want text or json", output)
	found.notNegative(command, "drain-bound")
	if err := found.err(); err != nil {
		return err
	}
	report, err := checkFolder(command.Args().First(), command.Duration("drain-bound"), command.Int("min-records"))
	if err != nil {
		return badInput{err}
	}
	if err := printReport(command.Root().Writer, report, output); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return errFindings
	}
	return nil
}

func checkFolder(folder string, drainBound time.Duration, minRecords int) (audit.Report, error) {
	files, records, err := auditfile.Read(folder)
	if err != nil {
		return audit.Report{}, err
	}
	if len(records) < minRecords {
		return audit.Report{}, fmt.Errorf("got %d callers' records, want %d or more", len(records), minRecords)
	}
	return audit.Check(files, records, drainBound)
}

func printReport(out io.Writer, report audit.Report, output string) error {
	if output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	_, err := io.WriteString(out, text(report))
	return err
}

// text is the report as people read it.
func text(report audit.Report) string {
	var out strings.Builder
	c := report.Counts
	fmt.Fprintf(&out, "targets %d, incarnations %d, grants %d, renewals %d, refused %d\n",
		c.Targets, c.Incarnations, c.Grants, c.Renewals, c.GrantsRefused)
	fmt.Fprintf(&out, "requests run %d (cut %d, unrecorded %d), refused %d\n", c.Runs, c.Incomplete, c.Unrecorded, c.Refused)
	fmt.Fprintf(&out, "records %d: done %d, not run %d, unknown %d\n", c.Records, c.Done, c.NotRun, c.Unknown)
	fmt.Fprintf(&out, "moves %d, longest gap %s\n", c.Moves, time.Duration(c.LongestGapNs))
	for i, finding := range report.Findings {
		if i == maxPrinted {
			fmt.Fprintf(&out, "... and %d more\n", len(report.Findings)-i)
			break
		}
		out.WriteString(line(finding))
	}
	fmt.Fprintf(&out, "findings %d\n", len(report.Findings))
	return out.String()
}

func line(f audit.Finding) string {
	at := time.Unix(0, f.FromNs).UTC().Format("15:04:05.000000")
	return fmt.Sprintf("%s %s service=%s shard=%s key=%s request=%s targets=%s: %s\n",
		f.Problem, at, f.Service, f.Shard, f.Key, f.Request, strings.Join(f.Targets, ","), f.Detail)
}
