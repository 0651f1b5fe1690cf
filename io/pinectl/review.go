package pinectl

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/core/review"
	"pineturn/core/routing"
	"pineturn/platform"
)

func reviewFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "in-force", Usage: "`FILE` with the configuration in force, - to ask the host at --server, which also tells how many targets there are"},
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of a host that the configuration must fit"},
	}
}

// reviewed is the result of a review, as printed in JSON.
type reviewed struct {
	File     string         `json:"file"`
	Errors   int            `json:"errors"`
	Warnings int            `json:"warnings"`
	Findings []foundFinding `json:"findings"`
	// Changes is what differs from the configuration in force, empty without one.
	Changes []string `json:"changes,omitempty"`
}

type foundFinding struct {
	Severity review.Severity `json:"severity"`
	Path     string          `json:"path"`
	Line     int             `json:"line"`
	Text     string          `json:"text"`
}

// platformCheck checks a configuration of the platform before it is sent. Its status is
// StatusFailed if the configuration has an error, StatusUsage if a file can't be read.
func (inv *invocation) platformCheck(ctx context.Context, command *cli.Command) error {
	path := command.Args().First()
	checked, err := readChecked(path)
	if err != nil {
		return err
	}
	deployment, err := deploymentOf(command.String("settings"))
	if err != nil {
		return err
	}
	result := reviewed{File: path}
	inForce, err := inv.readInForce(ctx, command.String("in-force"), &deployment)
	if err != nil {
		return err
	}
	if inForce != nil {
		result.Changes = review.Compare(inForce, checked.Config)
	}
	result.add(checked, review.Check(checked.Config, checked.Services, deployment))
	if err := inv.printReviewed(result); err != nil {
		return err
	}
	if result.Errors > 0 {
		return &failure{Status: StatusFailed, Code: "refused", Message: fmt.Sprintf("%s: %d errors", path, result.Errors), Next: "correct these errors before the configuration is sent"}
	}
	return nil
}

// readChecked reads a configuration to be checked. One that is malformed is an error of it, not of
// the command.
func readChecked(path string) (*platform.Checked, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageFailure(err.Error(), "name a file with a configuration")
	}
	checked, err := platform.CheckConfig(data)
	if err != nil {
		return nil, &failure{Status: StatusFailed, Code: "refused", Message: fmt.Sprintf("%s: %v", path, err), Next: "correct the file; hosts would keep the configuration in force"}
	}
	return checked, nil
}

// deploymentOf returns what the settings file of a host says of a deployment, nothing without one.
func deploymentOf(path string) (review.Deployment, error) {
	if path == "" {
		return review.Deployment{}, nil
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return review.Deployment{}, usageFailure(err.Error(), "name a settings file of the platform")
	}
	return review.Deployment{Bounds: settings.Bounds(), Regions: settings.Regions}, nil
}

// readInForce returns the configuration in force, nil if none is named. A host also tells how many
// hosts and targets there are.
func (inv *invocation) readInForce(ctx context.Context, path string, deployment *review.Deployment) (*routing.Config, error) {
	switch path {
	case "":
		return nil, nil
	case "-":
		return inv.inForceAtHost(ctx, deployment)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageFailure(err.Error(), "name a file with the configuration in force")
	}
	config, err := platform.DecodeConfig(data)
	return config, errors.Wrapf(err, "configuration in force, %s", path)
}

func (inv *invocation) inForceAtHost(ctx context.Context, deployment *review.Deployment) (*routing.Config, error) {
	state, err := inv.readState(ctx)
	if err != nil {
		return nil, err
	}
	config := &routing.Config{Version: state.Version, Routes: state.Routes, Services: state.Services, Limits: state.Limits}
	deployment.Hosts = len(state.Peers) + 1
	deployment.Targets = make(map[string]int)
	for name := range state.Services {
		deployment.Targets[name] = 0
	}
	for _, target := range state.Targets {
		deployment.Targets[target.Service]++
	}
	return config, nil
}

// add adds findings with their places in the file, and the fields that hosts ignore.
func (r *reviewed) add(checked *platform.Checked, findings []review.Finding) {
	for _, f := range findings {
		path, line := checked.Locate(f.Place)
		r.Findings = append(r.Findings, foundFinding{Severity: f.Severity, Path: path, Line: line, Text: f.Text})
	}
	for _, f := range checked.Invalid {
		r.Findings = append(r.Findings, foundFinding{Severity: review.Error, Path: f.Path, Line: checked.Line(f.Path), Text: f.Text})
	}
	for _, path := range checked.Unknown {
		r.Findings = append(r.Findings, foundFinding{Severity: review.Warning, Path: path, Line: checked.Line(path), Text: "is not known to this build, which ignores it"})
	}
	for _, f := range r.Findings {
		if f.Severity == review.Error {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
}

func (inv *invocation) printReviewed(r reviewed) error {
	table := rows{}
	for _, f := range r.Findings {
		table = append(table, []string{fmt.Sprintf("%s:%d", r.File, f.Line), string(f.Severity), f.Path, f.Text})
	}
	for _, change := range r.Changes {
		table = append(table, []string{"changes", change})
	}
	table = append(table, []string{fmt.Sprintf("%s: %d errors, %d warnings", r.File, r.Errors, r.Warnings)})
	return inv.printTable(r, table)
}
