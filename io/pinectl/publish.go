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

// plan holds the changes that a publication makes, and the files that they are
// computed from.
type plan struct {
	local   map[string][]byte
	remote  map[string]operator.File
	base    *base
	changes []record.FileChange
	// kept lists the files that others changed and the folder did not.
	kept []string
}

func (t *tool) publish(ctx context.Context, command *cli.Command) error {
	dir := command.Args().First()
	p, err := t.compare(ctx, dir)
	if err != nil {
		return err
	}
	if command.IsSet("base") {
		err = t.rebase(ctx, p, command.String("base"))
	}
	if err != nil {
		return err
	}
	if err := p.computeChanges(command.Bool("prune")); err != nil {
		return err
	}
	for _, name := range p.kept {
		t.printNote("%s: changed by others since; kept the version in force (pinectl pull fetches it)", name)
	}
	if err := p.validate(); err != nil {
		return err
	}
	result, err := t.change(ctx, command, p.changes)
	if result.Version > 0 || err == nil {
		p.writeBase(dir, result.Version, t.printNote)
	}
	return err
}

// compare reads the folder, its base and the files in force.
func (t *tool) compare(ctx context.Context, dir string) (*plan, error) {
	files, err := readFolder(dir)
	if err != nil {
		return nil, err
	}
	folderBase, err := readBase(dir)
	if err != nil {
		return nil, err
	}
	inForce, err := t.client.Files(ctx, true)
	if err != nil {
		return nil, err
	}
	p := &plan{local: map[string][]byte{}, remote: map[string]operator.File{}, base: folderBase}
	for _, file := range files {
		p.local[file.Name] = file.Content
	}
	for _, file := range inForce {
		p.remote[file.Name] = file
	}
	return p, nil
}

// rebase sets the base to the files at the version that text gives, or to the files
// in force if text is "latest".
func (t *tool) rebase(ctx context.Context, p *plan, text string) error {
	p.base = &base{Files: map[string]baseFile{}}
	for _, file := range p.remote {
		p.base.Files[file.Name] = baseFile{Version: file.Version}
	}
	if text == "latest" {
		return nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return usageFailure("base "+text+": want a version or latest", "see pinectl history")
	}
	since, err := t.changesSince(ctx, version)
	if err != nil {
		return err
	}
	for _, change := range since {
		for _, file := range change.Files {
			if err := p.checkRemoteChange(file.Name, change.Version, version); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkRemoteChange handles a file that others changed, at version changed, after
// the base version. A file that the folder lacks is kept as it is in force. A file of
// the folder whose content differs from the one in force is a conflict.
func (p *plan) checkRemoteChange(name string, changed, version uint64) error {
	content, ok := p.local[name]
	if !ok {
		delete(p.base.Files, name)
		p.kept = append(p.kept, name)
		return nil
	}
	if bytes.Equal(content, p.remote[name].Content) {
		return nil
	}
	return conflictFailure(fmt.Sprintf("%s was changed by version %d, after %d; nothing was changed", name, changed, version),
		"apply that change to the folder, and publish with a later --base")
}

// computeChanges computes the changes, each with the version that it replaces. A
// file that the folder did not change since its base is kept as it is in force.
func (p *plan) computeChanges(prune bool) error {
	for _, name := range sorted(p.local) {
		content := p.local[name]
		remote, exists := p.remote[name]
		if exists && bytes.Equal(remote.Content, content) {
			continue
		}
		before := p.baseOf(name)
		if before.SHA256 != "" && before.SHA256 == digest(content) {
			p.kept = append(p.kept, name)
			continue
		}
		if before.Version != remote.Version {
			return p.versionConflict(name, before.Version, remote.Version)
		}
		p.changes = append(p.changes, record.FileChange{Name: name, Expect: before.Version, Content: content})
	}
	if prune {
		return p.prune()
	}
	return nil
}

// baseOf returns the base of a file, or the zero value if it has none.
func (p *plan) baseOf(name string) baseFile {
	if p.base == nil {
		return baseFile{}
	}
	return p.base.Files[name]
}

// versionConflict returns the failure for a file whose version in force, now, differs
// from the version that the folder is based on, before. A version is 0 if there is
// none.
func (p *plan) versionConflict(name string, before, now uint64) error {
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

func (p *plan) prune() error {
	if p.base == nil {
		return usageFailure("prune: the folder has no record of its published files", "pull first, or give --base VERSION")
	}
	for _, name := range sorted(p.base.Files) {
		remote, exists := p.remote[name]
		if _, ok := p.local[name]; ok || !exists {
			continue
		}
		before := p.base.Files[name]
		if before.Version != remote.Version {
			return p.versionConflict(name, before.Version, remote.Version)
		}
		p.changes = append(p.changes, record.FileChange{Name: name, Expect: before.Version, Remove: true})
	}
	return nil
}

// validate merges the files as they would be after the changes, in order to report
// faults before a change is appended to the log. The hosts check the files again
// when they read the change.
func (p *plan) validate() error {
	current := make([]config.File, 0, len(p.remote))
	result := map[string][]byte{}
	for name, file := range p.remote {
		current = append(current, config.File{Name: name, Content: file.Content})
		result[name] = file.Content
	}
	for _, change := range p.changes {
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
func (p *plan) writeBase(dir string, version uint64, printNote func(string, ...any)) {
	newBase := &base{Files: map[string]baseFile{}}
	if p.base != nil {
		newBase = p.base
	}
	for name, content := range p.local {
		if remote, ok := p.remote[name]; ok && bytes.Equal(remote.Content, content) {
			newBase.setFile(name, remote.Version, content)
		}
	}
	for _, change := range p.changes {
		newBase.setFile(change.Name, version, change.Content)
		if change.Remove {
			delete(newBase.Files, change.Name)
		}
	}
	if err := newBase.write(dir); err != nil {
		printNote("%v; pass --base %d to the next publish", err, version)
	}
}

func (t *tool) pull(ctx context.Context, command *cli.Command) error {
	dir := command.Args().First()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create folder")
	}
	p, err := t.compare(ctx, dir)
	if err != nil {
		return err
	}
	for _, name := range sorted(p.local) {
		unchanged := p.baseOf(name).SHA256 == digest(p.local[name])
		if !unchanged && !bytes.Equal(p.local[name], p.remote[name].Content) {
			return conflictFailure(name+" has unpublished changes; no file was written", "publish or remove it first, or pull to another folder")
		}
	}
	newBase := &base{Files: map[string]baseFile{}}
	names := sorted(p.remote)
	for _, name := range names {
		if config.CheckFileName(name) != "" {
			return commandFailure(errors.Newf("the server lists a file with the unsafe name %q", name))
		}
		if err := os.WriteFile(filepath.Join(dir, name), p.remote[name].Content, 0o644); err != nil {
			return errors.Wrap(err, "write file")
		}
		newBase.setFile(name, p.remote[name].Version, p.remote[name].Content)
	}
	for _, name := range sorted(p.local) {
		if _, ok := p.remote[name]; ok {
			continue
		}
		if err := os.Remove(filepath.Join(dir, name)); err != nil {
			return errors.Wrap(err, "remove file")
		}
	}
	if err := newBase.write(dir); err != nil {
		return err
	}
	return t.printText(nonNil(names), fmt.Sprintf("%s: %d files", dir, len(names)))
}

func sorted[T any](items map[string]T) []string {
	names := make([]string, 0, len(items))
	for name := range items {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
