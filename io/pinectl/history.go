package pinectl

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/diff"
	"github.com/urfave/cli/v3"

	"pineturn/core/record"
	"pineturn/io/operator"
)

func (inv *invocation) showFile(ctx context.Context, command *cli.Command) error {
	file, err := inv.client.File(ctx, command.Args().First())
	if err != nil {
		return err
	}
	if inv.options.output == outputJSON {
		return inv.printJSON(shownFile{Name: file.Name, Version: file.Version, Size: file.Size, Content: string(file.Content)})
	}
	_, err = inv.out.Write(file.Content)
	return err
}

// shownFile is the JSON output for a file. Its content is text instead of base64.
type shownFile struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Size    int    `json:"size"`
	Content string `json:"content"`
}

func (inv *invocation) listFiles(ctx context.Context, _ *cli.Command) error {
	files, err := inv.client.Files(ctx, false)
	if err != nil {
		return err
	}
	table := rows{{"FILE", "VERSION", "BYTES"}}
	for _, file := range files {
		table = append(table, []string{file.Name, toString(file.Version), toString(file.Size)})
	}
	return inv.printTable(nonNil(files), table)
}

func (inv *invocation) history(ctx context.Context, command *cli.Command) error {
	limit := command.Int("limit")
	if limit < 1 {
		return usageFailure("limit: want an integer of at least 1", "see pinectl history --help")
	}
	history, err := inv.client.History(ctx, limit)
	if err != nil {
		return err
	}
	table := rows{{"VERSION", "AUTHOR", "FILE", "CHANGE"}}
	for _, change := range history.Changes {
		for _, file := range change.Files {
			table = append(table, []string{toString(change.Version), orDefault(change.Author, "-"), file.Name, changeKind(file)})
		}
	}
	history.Changes = nonNil(history.Changes)
	return inv.printTable(history, table)
}

func changeKind(file operator.ChangedFile) string {
	switch {
	case file.Removed:
		return "removed"
	case file.Replaced == 0:
		return "created"
	}
	return fmt.Sprintf("replaced %d", file.Replaced)
}

// fileDiff is the change of a file's content as a unified diff.
type fileDiff struct {
	Name string `json:"name"`
	Diff string `json:"diff"`
}

func (inv *invocation) diff(ctx context.Context, command *cli.Command) error {
	arg := command.Args().First()
	version, err := strconv.ParseUint(arg, 10, 64)
	var diffs []fileDiff
	if err == nil {
		diffs, err = inv.diffChange(ctx, version)
	} else {
		diffs, err = inv.diffFolder(ctx, arg)
	}
	if err != nil {
		return err
	}
	var text strings.Builder
	for _, file := range diffs {
		text.WriteString(file.Diff)
	}
	if len(diffs) == 0 {
		text.WriteString("no difference")
	}
	return inv.printText(nonNil(diffs), text.String())
}

// diffChange returns the diffs of the files of one change.
func (inv *invocation) diffChange(ctx context.Context, version uint64) ([]fileDiff, error) {
	history, err := inv.client.History(ctx, math.MaxInt32)
	if err != nil {
		return nil, err
	}
	for _, change := range history.Changes {
		if change.Version != version {
			continue
		}
		var diffs []fileDiff
		for _, file := range change.Files {
			diffs = append(diffs, contentDiff(file.Name, file.Before, file.Content, file.Replaced, version))
		}
		return diffs, nil
	}
	return nil, unknownVersion(version)
}

func unknownVersion(version uint64) error {
	return &failure{
		Status: StatusFailed, Code: "not-found", Message: fmt.Sprintf("version %d is not in the history", version),
		Next: "see pinectl history for the versions that it contains",
	}
}

// diffFolder returns the diffs between the files in force and a folder.
func (inv *invocation) diffFolder(ctx context.Context, dir string) ([]fileDiff, error) {
	c, err := inv.compare(ctx, dir)
	if err != nil {
		return nil, err
	}
	var diffs []fileDiff
	for _, name := range sorted(c.inForce) {
		content, ok := c.local[name]
		if !ok || string(content) != string(c.inForce[name].Content) {
			diffs = append(diffs, contentDiff(name, c.inForce[name].Content, content, c.inForce[name].Version, dir))
		}
	}
	for _, name := range sorted(c.local) {
		if _, ok := c.inForce[name]; !ok {
			diffs = append(diffs, contentDiff(name, nil, c.local[name], 0, dir))
		}
	}
	return diffs, nil
}

func contentDiff(name string, before, after []byte, oldLabel, newLabel any) fileDiff {
	text := diff.Diff(fmt.Sprintf("%s@%v", name, oldLabel), before, fmt.Sprintf("%s@%v", name, newLabel), after)
	return fileDiff{Name: name, Diff: string(text)}
}

// changesSince lists the changes after a version, newest first. It fails if the
// history does not reach back to the version.
func (inv *invocation) changesSince(ctx context.Context, version uint64) ([]operator.Change, error) {
	history, err := inv.client.History(ctx, math.MaxInt32)
	if err != nil {
		return nil, err
	}
	for i, change := range history.Changes {
		if change.Version <= version {
			return history.Changes[:i], nil
		}
	}
	if history.Truncated {
		return nil, unknownVersion(version)
	}
	return history.Changes, nil
}

func (inv *invocation) rollback(ctx context.Context, command *cli.Command) error {
	version, err := strconv.ParseUint(command.Args().First(), 10, 64)
	if err != nil {
		return usageFailure("rollback: want a version, which is an integer", "see pinectl history")
	}
	since, err := inv.changesSince(ctx, version)
	if err != nil {
		return err
	}
	_, err = inv.change(ctx, command, revert(since))
	return err
}

// revert returns the changes of files that revert the given changes, which are
// sorted newest first. Each file gets the content that its oldest change replaced.
// The expected version is the one that its newest change created, or 0 if that change
// removed the file.
func revert(since []operator.Change) []record.FileChange {
	oldest := map[string]operator.ChangedFile{}
	newest := map[string]uint64{}
	for _, change := range since {
		for _, file := range change.Files {
			if _, ok := newest[file.Name]; !ok {
				newest[file.Name] = change.Version
				if file.Removed {
					newest[file.Name] = 0
				}
			}
			oldest[file.Name] = file
		}
	}
	var changes []record.FileChange
	for _, name := range sorted(oldest) {
		created := oldest[name].Replaced == 0
		if created && newest[name] == 0 {
			continue
		}
		changes = append(changes, record.FileChange{
			Name: name, Expect: newest[name], Content: oldest[name].Before, Remove: created,
		})
	}
	return changes
}
