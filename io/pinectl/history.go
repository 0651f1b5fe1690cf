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

func (t *tool) showFile(ctx context.Context, command *cli.Command) error {
	file, err := t.client.File(ctx, command.Args().First())
	if err != nil {
		return err
	}
	if t.options.output == asJSON {
		return t.json(shownFile{Name: file.Name, Version: file.Version, Size: file.Size, Content: string(file.Content)})
	}
	_, err = t.out.Write(file.Content)
	return err
}

// shownFile is a file whose content is text, for programs.
type shownFile struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Size    int    `json:"size"`
	Content string `json:"content"`
}

func (t *tool) listFiles(ctx context.Context, _ *cli.Command) error {
	files, err := t.client.Files(ctx, false)
	if err != nil {
		return err
	}
	table := rows{{"FILE", "VERSION", "BYTES"}}
	for _, file := range files {
		table = append(table, []string{file.Name, text(file.Version), text(file.Size)})
	}
	return t.show(list(files), table)
}

func (t *tool) history(ctx context.Context, command *cli.Command) error {
	limit := command.Int("limit")
	if limit < 1 {
		return usage("limit: want a whole number from 1", "see pinectl history --help")
	}
	past, err := t.client.History(ctx, limit)
	if err != nil {
		return err
	}
	table := rows{{"VERSION", "AUTHOR", "FILE", "CHANGE"}}
	for _, change := range past.Changes {
		for _, file := range change.Files {
			table = append(table, []string{text(change.Version), or(change.Author, "-"), file.Name, kindOf(file)})
		}
	}
	past.Changes = list(past.Changes)
	return t.show(past, table)
}

func kindOf(file operator.ChangedFile) string {
	switch {
	case file.Removed:
		return "removed"
	case file.Replaced == 0:
		return "created"
	}
	return fmt.Sprintf("replaced %d", file.Replaced)
}

// fileDiff is how a file's content changes, as a unified diff.
type fileDiff struct {
	Name string `json:"name"`
	Diff string `json:"diff"`
}

func (t *tool) diff(ctx context.Context, command *cli.Command) error {
	what := command.Args().First()
	version, err := strconv.ParseUint(what, 10, 64)
	var diffs []fileDiff
	if err == nil {
		diffs, err = t.diffChange(ctx, version)
	} else {
		diffs, err = t.diffFolder(ctx, what)
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
	return t.say(list(diffs), text.String())
}

// diffChange tells what one change did.
func (t *tool) diffChange(ctx context.Context, version uint64) ([]fileDiff, error) {
	past, err := t.client.History(ctx, math.MaxInt32)
	if err != nil {
		return nil, err
	}
	for _, change := range past.Changes {
		if change.Version != version {
			continue
		}
		var diffs []fileDiff
		for _, file := range change.Files {
			diffs = append(diffs, contentDiff(file.Name, file.Before, file.Content, file.Replaced, version))
		}
		return diffs, nil
	}
	return nil, noVersion(version)
}

func noVersion(version uint64) error {
	return &failure{
		Status: StatusFailed, Code: "not-found", Message: fmt.Sprintf("version %d is not in the history", version),
		Next: "see pinectl history for the versions it reaches back to",
	}
}

// diffFolder tells how a folder differs from the files in force.
func (t *tool) diffFolder(ctx context.Context, dir string) ([]fileDiff, error) {
	p, err := t.compare(ctx, dir)
	if err != nil {
		return nil, err
	}
	var diffs []fileDiff
	for _, name := range sorted(p.remote) {
		content, ok := p.local[name]
		if !ok || string(content) != string(p.remote[name].Content) {
			diffs = append(diffs, contentDiff(name, p.remote[name].Content, content, p.remote[name].Version, dir))
		}
	}
	for _, name := range sorted(p.local) {
		if _, ok := p.remote[name]; !ok {
			diffs = append(diffs, contentDiff(name, nil, p.local[name], 0, dir))
		}
	}
	return diffs, nil
}

func contentDiff(name string, before, after []byte, old, changed any) fileDiff {
	text := diff.Diff(fmt.Sprintf("%s@%v", name, old), before, fmt.Sprintf("%s@%v", name, changed), after)
	return fileDiff{Name: name, Diff: string(text)}
}

// since lists the changes after a version, the newest first.
func (t *tool) since(ctx context.Context, version uint64) ([]operator.Change, error) {
	past, err := t.client.History(ctx, math.MaxInt32)
	if err != nil {
		return nil, err
	}
	for i, change := range past.Changes {
		if change.Version <= version {
			return past.Changes[:i], nil
		}
	}
	if past.Truncated {
		return nil, noVersion(version)
	}
	return past.Changes, nil
}

func (t *tool) rollback(ctx context.Context, command *cli.Command) error {
	version, err := strconv.ParseUint(command.Args().First(), 10, 64)
	if err != nil {
		return usage("rollback: want a version, a whole number", "see pinectl history")
	}
	since, err := t.since(ctx, version)
	if err != nil {
		return err
	}
	_, err = t.change(ctx, command, undo(since))
	return err
}

// undo returns the change that takes back changes, given newest first. Each
// file goes back to what its oldest change replaced, and the version that its
// newest one made is expected.
func undo(since []operator.Change) []record.FileChange {
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
