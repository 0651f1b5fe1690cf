package pinectl

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"pineturn/core/config"
)

// configurationCommands returns the commands for configuration files.
func (inv *invocation) configurationCommands() []*cli.Command {
	return []*cli.Command{
		subcommand("check", "check a folder without a server", []string{"DIR"}, inv.check),
		subcommand("publish", "publish the files that changed in a folder", []string{"DIR"}, inv.publish, append(waitFlags(),
			&cli.BoolFlag{Name: "prune", Usage: "remove the published files that were deleted from the folder"},
			&cli.StringFlag{Name: "base", Usage: "`VERSION` that the folder is based on, or latest to replace whatever is in force; by default the versions that the last pull or publish wrote to " + baseName},
		)...),
		subcommand("pull", "write the files in force to a folder", []string{"DIR"}, inv.pull),
		subcommand("edit", "create or replace one file", []string{"FILE"}, inv.edit, append(waitFlags(), expectFlag(),
			&cli.StringFlag{Name: "from", Usage: "`PATH` to read the content from, - for standard input; FILE itself if not given"},
		)...),
		subcommand("remove", "remove one file", []string{"FILE"}, inv.remove, append(waitFlags(), expectFlag())...),
		subcommand("show", "print a file in force", []string{"FILE"}, inv.showFile),
		subcommand("list", "list the files in force", nil, inv.listFiles),
		subcommand("history", "list the latest changes", nil, inv.history,
			&cli.IntFlag{Name: "limit", Usage: "at most `N` changes", Value: 20}),
		subcommand("diff", "show what a change did, or how a folder differs from what is in force", []string{"VERSION|DIR"}, inv.diff),
		subcommand("rollback", "make a new change that restores the files as they were at a version", []string{"VERSION"}, inv.rollback, waitFlags()...),
	}
}

func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force on every host that is not leaving"},
		&cli.DurationFlag{Name: "wait-timeout", Usage: "timeout of --wait, such as 30s", Value: DefaultWaitTimeout},
	}
}

func expectFlag() cli.Flag {
	return &cli.Uint64Flag{
		Name: "expect", Usage: "`VERSION` of the file that the change replaces, as pinectl list shows it; 0 for a new file", Required: true,
	}
}

// checkSummary is the result of a check.
type checkSummary struct {
	Files    int `json:"files"`
	Services int `json:"services"`
	Targets  int `json:"targets"`
}

func (inv *invocation) check(_ context.Context, command *cli.Command) error {
	dir := command.Args().First()
	files, err := readFolder(dir)
	if err != nil {
		return err
	}
	merged, faults := config.Merge(0, files)
	if len(faults) > 0 {
		return invalidFiles(dir, faults)
	}
	result := checkSummary{Files: len(files), Services: len(merged.Services())}
	for _, service := range merged.Services() {
		result.Targets += len(service.Targets())
	}
	return inv.printText(result, fmt.Sprintf("%s: correct: %d files, %d services, %d targets",
		dir, result.Files, result.Services, result.Targets))
}

func invalidFiles(subject string, faults []config.Fault) *failure {
	return &failure{
		Status: StatusFailed, Code: "refused", Message: fmt.Sprintf("%s: %d faults", subject, len(faults)), Faults: faults,
		Next: "correct these faults; docs/CONFIGURATION.md describes the schema",
	}
}
