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

// maxPrintedFindings is the maximum number of findings in the text output.
const maxPrintedFindings = 50

var errFindings = errors.New("audit has findings")

func checkCommand() *cli.Command {
	f := flags("check")
	return &cli.Command{
		Name:      "check",
		Usage:     "check the audits (" + auditfile.AuditPattern + ") and callers' records (" + auditfile.RecordPattern + ") in a folder",
		ArgsUsage: "DIR",
		Description: "Exit status 0: no findings, 1: findings, 2: invalid input, such as an audit without an accepted grant or " +
			"without a request run.",
		Flags: []cli.Flag{
			f.duration("drain-bound", audit.DrainBound, "time after the start of a drain from which a target must receive no requests"),
			f.string("output", "text", "output format, text or json"),
			f.int("min-records", 0, "minimum number of callers' records; fewer are invalid input"),
		},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, command *cli.Command) error {
	var problems inputErrors
	output := command.String("output")
	problems.check(command.Args().Len() == 1, "want one folder, got %d arguments", command.Args().Len())
	problems.check(output == "text" || output == "json", "--output %q: want text or json", output)
	problems.nonNegative(command, "drain-bound")
	if err := problems.err(); err != nil {
		return err
	}
	report, err := checkFolder(command.Args().First(), command.Duration("drain-bound"), command.Int("min-records"))
	if err != nil {
		return inputError{err}
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
	_, err := io.WriteString(out, formatReport(report))
	return err
}

// formatReport returns the report as text.
func formatReport(report audit.Report) string {
	var out strings.Builder
	c := report.Counts
	fmt.Fprintf(&out, "targets %d, incarnations %d, grants %d, renewals %d, refused %d\n",
		c.Targets, c.Incarnations, c.Grants, c.Renewals, c.GrantsRefused)
	fmt.Fprintf(&out, "requests run %d (cut %d, unrecorded %d), refused %d\n", c.Runs, c.Incomplete, c.Unrecorded, c.Refused)
	fmt.Fprintf(&out, "records %d: done %d, not run %d, unknown %d\n", c.Records, c.Done, c.NotRun, c.Unknown)
	fmt.Fprintf(&out, "moves %d, longest gap %s\n", c.Moves, time.Duration(c.LongestGapNs))
	for i, finding := range report.Findings {
		if i == maxPrintedFindings {
			fmt.Fprintf(&out, "... and %d more\n", len(report.Findings)-i)
			break
		}
		out.WriteString(formatFinding(finding))
	}
	fmt.Fprintf(&out, "findings %d\n", len(report.Findings))
	return out.String()
}

// formatFinding returns one finding as a line of text.
func formatFinding(f audit.Finding) string {
	at := time.Unix(0, f.FromNs).UTC().Format("15:04:05.000000")
	return fmt.Sprintf("%s %s service=%s shard=%s key=%s request=%s targets=%s: %s\n",
		f.Problem, at, f.Service, f.Shard, f.Key, f.Request, strings.Join(f.Targets, ","), f.Detail)
}
