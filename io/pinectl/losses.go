package pinectl

import (
	"bufio"
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/core/losses"
)

// maxLogLine bounds a line of a host's log, in bytes.
const maxLogLine = 1 << 20

// lossReport is the result of platformLosses, as printed in JSON.
type lossReport struct {
	Losses []losses.Row `json:"losses"`
	// Dropped is the number of lines on failures that hosts have not written.
	Dropped int `json:"dropped"`
}

// platformLosses sums up from the logs of hosts why requests were not served.
func (inv *invocation) platformLosses(_ context.Context, command *cli.Command) error {
	summary := losses.New()
	for _, path := range command.Args().Slice() {
		if err := addLog(summary, path); err != nil {
			return err
		}
	}
	report := lossReport{Losses: nonNil(summary.Rows()), Dropped: summary.Dropped()}
	table := rows{{"REQUESTS", "SERVICE", "ROUTE", "STATUS", "REASON"}}
	for _, r := range report.Losses {
		table = append(table, []string{toString(r.Count), orDefault(r.Service, "none"), orDefault(r.Route, "none"), toString(r.Status), r.Reason})
	}
	if report.Dropped > 0 {
		inv.printNote("%d further lines on failures were not written by the hosts", report.Dropped)
	}
	return inv.printTable(report, table)
}

// addLog adds the lines of a host's log to a summary.
func addLog(summary *losses.Summary, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return usageFailure(err.Error(), "name the logs of the hosts, one file each")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		summary.AddLine(path, lines.Text())
	}
	return errors.Wrap(lines.Err(), fmt.Sprintf("read %s", path))
}
