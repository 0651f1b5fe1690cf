package pinectl

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/core/config"
	"pineturn/core/record"
	"pineturn/io/operator"
)

// changeSummary is the result of a change of files.
type changeSummary struct {
	// Version is the version of the change, 0 if there was nothing to change.
	Version uint64   `json:"version"`
	Changed []string `json:"changed"`
	Removed []string `json:"removed"`
	InForce bool     `json:"in_force"`
}

// folderComparison holds a folder's files, its base and the files in force. A
// publication computes its changes from them; pull and diff only compare them.
type folderComparison struct {
	local   map[string][]byte
	inForce map[string]operator.File
	base    *base
	changes []record.FileChange
	// kept lists the files that others changed and the folder did not.
	kept []string
}

func (inv *invocation) publish(ctx context.Context, command *cli.Command) error {
	dir := command.Args().First()
	c, err := inv.compare(ctx, dir)
	if err != nil {
		return err
	}
	if command.IsSet("base") {
		err = inv.setBase(ctx, c, command.String("base"))
	}
	if err != nil {
		return err
	}
	if err := c.computeChanges(command.Bool("prune")); err != nil {
		return err
	}
	for _, name := range c.kept {
		inv.printNote("%s: changed by others since; kept the version in force (pinectl pull fetches it)", name)
	}
	if err := c.validate(); err != nil {
		return err
	}
	result, err := inv.change(ctx, command, c.changes)
	if result.Version > 0 || err == nil {
		c.writeBase(dir, result.Version, inv.printNote)
	}
	return err
}

// compare reads the folder, its base and the files in force.
func (inv *invocation) compare(ctx context.Context, dir string) (*folderComparison, error) {
	files, err := readFolder(dir)
	if err != nil {
		return nil, err
	}
	folderBase, err := readBase(dir)
	if err != nil {
		return nil, err
	}
	filesInForce, err := inv.client.Files(ctx, true)
	if err != nil {
		return nil, err
	}
	c := &folderComparison{local: map[string][]byte{}, inForce: map[string]operator.File{}, base: folderBase}
	for _, file := range files {
		c.local[file.Name] = file.Content
	}
	for _, file := range filesInForce {
		c.inForce[file.Name] = file
	}
	return c, nil
}

// setBase sets the base to the files at the version that text gives, or to the files
// in force if text is "latest".
func (inv *invocation) setBase(ctx context.Context, c *folderComparison, text string) error {
	c.base = &base{Files: map[string]baseFile{}}
	for _, file := range c.inForce {
		c.base.Files[file.Name] = baseFile{Version: file.Version}
	}
	if text == "latest" {
		return nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return usageFailure("base "+text+": want a version or latest", "see pinectl history")
	}
	since, err := inv.changesSince(ctx, version)
	if err != nil {
		return err
	}
	for _, change := range since {
		for _, file := range change.Files {
			if err := c.checkLaterChange(file.Name, change.Version, version); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkLaterChange handles a file that others changed, at version changed, after
// the base version. A file that the folder lacks is kept as it is in force. A file of
// the folder whose content differs from the one in force is a conflict.
func (c *folderComparison) checkLaterChange(name string, changed, version uint64) error {
	content, ok := c.local[name]
	if !ok {
		delete(c.base.Files, name)
		c.kept = append(c.kept, name)
		return nil
	}
	if bytes.Equal(content, c.inForce[name].Content) {
		return nil
	}
	return conflictFailure(fmt.Sprintf("%s was changed by version %d, after %d; nothing was changed", name, changed, version),
		"apply that change to the folder, and publish with a later --base")
}

// computeChanges computes the changes, each with the version that it replaces. A
// file that the folder did not change since its base is kept as it is in force.
func (c *folderComparison) computeChanges(prune bool) error {
	for _, name := range sorted(c.local) {
		content := c.local[name]
		inForce, exists := c.inForce[name]
		if exists && bytes.Equal(inForce.Content, content) {
			continue
		}
		before := c.baseOf(name)
		if before.SHA256 != "" && before.SHA256 == digest(content) {
			c.kept = append(c.kept, name)
			continue
		}
		if before.Version != inForce.Version {
			return c.versionConflict(name, before.Version, inForce.Version)
		}
		c.changes = append(c.changes, record.FileChange{Name: name, Expect: before.Version, Content: content})
	}
	if prune {
		return c.prune()
	}
	return nil
}

// baseOf returns the base of a file, or the zero value if it has none.
func (c *folderComparison) baseOf(name string) baseFile {
	if c.base == nil {
		return baseFile{}
	}
	return c.base.Files[name]
}

// versionConflict returns the failure for a file whose version in force, now, differs
// from the version that the folder is based on, before. A version is 0 if there is
// none.
func (c *folderComparison) versionConflict(name string, before, now uint64) error {
	if before == 0 {
		return conflictFailure(fmt.Sprintf("%s is already in force at version %d with other content, and the folder has no record of the version that it is based on; nothing was changed", name, now),
			"compare with pinectl diff DIR, then give --base VERSION (or --base latest to replace what is in force)")
	}
	if now == 0 {
		return conflictFailure(fmt.Sprintf("%s was removed by others after version %d; nothing was changed", name, before),
			"see pinectl history; to create it again, use pinectl edit with --expect 0")
	}
	return conflictFailure(fmt.Sprintf("%s was changed by others: it is at version %d, the folder's is based on %d; nothing was changed", name, now, before),
		"compare with pinectl diff, apply the change to the folder, and publish with --base "+strconv.FormatUint(now, 10))
}

func (c *folderComparison) prune() error {
	if c.base == nil {
		return usageFailure("prune: the folder has no record of its published files", "pull first, or give --base VERSION")
	}
	for _, name := range sorted(c.base.Files) {
		inForce, exists := c.inForce[name]
		if _, ok := c.local[name]; ok || !exists {
			continue
		}
		before := c.base.Files[name]
		if before.Version != inForce.Version {
			return c.versionConflict(name, before.Version, inForce.Version)
		}
		c.changes = append(c.changes, record.FileChange{Name: name, Expect: before.Version, Remove: true})
	}
	return nil
}

// validate merges the files as they would be after the changes, in order to report
// faults before a change is appended to the log. The hosts check the files again
// when they read the change.
func (c *folderComparison) validate() error {
	current := make([]config.File, 0, len(c.inForce))
	result := map[string][]byte{}
	for name, file := range c.inForce {
		current = append(current, config.File{Name: name, Content: file.Content})
		result[name] = file.Content
	}
	for _, change := range c.changes {
		result[change.Name] = change.Content
		if change.Remove {
			delete(result, change.Name)
		}
	}
	files := make([]config.File, 0, len(result))
	for name, content := range result {
		files = append(files, config.File{Name: name, Content: content})
	}
	merged, faults := config.Merge(0, files)
	if len(faults) == 0 {
		old, _ := config.Merge(0, current)
		faults = config.CheckChange(old, merged)
	}
	if len(faults) > 0 {
		return invalidFiles("nothing was changed", faults)
	}
	return nil
}

// writeBase writes the folder's base after a change. If that fails, it prints a note
// with the --base for the next publication.
func (c *folderComparison) writeBase(dir string, version uint64, printNote func(string, ...any)) {
	newBase := &base{Files: map[string]baseFile{}}
	if c.base != nil {
		newBase = c.base
	}
	for name, content := range c.local {
		if inForce, ok := c.inForce[name]; ok && bytes.Equal(inForce.Content, content) {
			newBase.setFile(name, inForce.Version, content)
		}
	}
	for _, change := range c.changes {
		newBase.setFile(change.Name, version, change.Content)
		if change.Remove {
			delete(newBase.Files, change.Name)
		}
	}
	if err := newBase.write(dir); err != nil {
		printNote("%v; pass --base %d to the next publish", err, version)
	}
}

func (inv *invocation) pull(ctx context.Context, command *cli.Command) error {
	dir := command.Args().First()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create folder")
	}
	c, err := inv.compare(ctx, dir)
	if err != nil {
		return err
	}
	for _, name := range sorted(c.local) {
		unchanged := c.baseOf(name).SHA256 == digest(c.local[name])
		if !unchanged && !bytes.Equal(c.local[name], c.inForce[name].Content) {
			return conflictFailure(name+" has unpublished changes; no file was written", "publish or remove it first, or pull to another folder")
		}
	}
	newBase := &base{Files: map[string]baseFile{}}
	names := sorted(c.inForce)
	for _, name := range names {
		if config.CheckFileName(name) != "" {
			return commandFailure(errors.Newf("the server lists a file with the unsafe name %q", name))
		}
		if err := os.WriteFile(filepath.Join(dir, name), c.inForce[name].Content, 0o644); err != nil {
			return errors.Wrap(err, "write file")
		}
		newBase.setFile(name, c.inForce[name].Version, c.inForce[name].Content)
	}
	for _, name := range sorted(c.local) {
		if _, ok := c.inForce[name]; ok {
			continue
		}
		if err := os.Remove(filepath.Join(dir, name)); err != nil {
			return errors.Wrap(err, "remove file")
		}
	}
	if err := newBase.write(dir); err != nil {
		return err
	}
	return inv.printText(nonNil(names), fmt.Sprintf("%s: %d files", dir, len(names)))
}

func sorted[T any](items map[string]T) []string {
	names := make([]string, 0, len(items))
	for name := range items {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
