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

// published is the result of a change of files.
type published struct {
	// Version is that of the change, 0 when there was nothing to change.
	Version uint64   `json:"version"`
	Changed []string `json:"changed"`
	Removed []string `json:"removed"`
	InForce bool     `json:"in_force"`
}

// plan is what a publication will change.
type plan struct {
	local   map[string][]byte
	remote  map[string]operator.File
	base    *base
	changes []record.FileChange
	// kept are files that others changed and the folder did not.
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
	if err := p.decide(command.Bool("prune")); err != nil {
		return err
	}
	for _, name := range p.kept {
		t.note("%s: changed by others since; kept as it is in force (pinectl pull fetches it)", name)
	}
	if err := p.checkResult(); err != nil {
		return err
	}
	result, err := t.change(ctx, command, p.changes)
	if result.Version > 0 || err == nil {
		p.remember(dir, result.Version, t.note)
	}
	return err
}

// compare reads the folder and the files in force.
func (t *tool) compare(ctx context.Context, dir string) (*plan, error) {
	files, err := readFolder(dir)
	if err != nil {
		return nil, err
	}
	known, err := readBase(dir)
	if err != nil {
		return nil, err
	}
	inForce, err := t.client.Files(ctx, true)
	if err != nil {
		return nil, err
	}
	p := &plan{local: map[string][]byte{}, remote: map[string]operator.File{}, base: known}
	for _, file := range files {
		p.local[file.Name] = file.Content
	}
	for _, file := range inForce {
		p.remote[file.Name] = file
	}
	return p, nil
}

// rebase takes the files as they were at a version, or are now, as the base.
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
		return usage("base "+text+": want a version or latest", "see pinectl history")
	}
	since, err := t.since(ctx, version)
	if err != nil {
		return err
	}
	for _, change := range since {
		for _, file := range change.Files {
			if err := p.changedSince(file.Name, change.Version, version); err != nil {
				return err
			}
		}
	}
	return nil
}

// changedSince takes up that a file was changed after the base.
func (p *plan) changedSince(name string, changed, version uint64) error {
	content, ok := p.local[name]
	if !ok {
		delete(p.base.Files, name)
		p.kept = append(p.kept, name)
		return nil
	}
	if bytes.Equal(content, p.remote[name].Content) {
		return nil
	}
	return conflict(fmt.Sprintf("%s was changed by version %d, after %d; nothing was changed", name, changed, version),
		"take that change into the folder, and publish with a later --base")
}

// decide lists the changes, each with the version that it replaces.
func (p *plan) decide(prune bool) error {
	for _, name := range sorted(p.local) {
		content := p.local[name]
		remote, exists := p.remote[name]
		if exists && bytes.Equal(remote.Content, content) {
			continue
		}
		before := p.before(name)
		if before.SHA256 != "" && before.SHA256 == digest(content) {
			p.kept = append(p.kept, name)
			continue
		}
		if before.Version != remote.Version {
			return p.overtaken(name, before.Version, remote.Version)
		}
		p.changes = append(p.changes, record.FileChange{Name: name, Expect: before.Version, Content: content})
	}
	if prune {
		return p.prune()
	}
	return nil
}

// before returns what the folder knows of a file, or nothing.
func (p *plan) before(name string) baseFile {
	if p.base == nil {
		return baseFile{}
	}
	return p.base.Files[name]
}

func (p *plan) overtaken(name string, before, now uint64) error {
	if before == 0 {
		return conflict(fmt.Sprintf("%s is in force already at version %d, with other content, and the folder does not say which version it is made from; nothing was changed", name, now),
			"compare with pinectl diff DIR, then give --base VERSION (or --base latest to replace what is in force)")
	}
	if now == 0 {
		return conflict(fmt.Sprintf("%s was removed by others after version %d; nothing was changed", name, before),
			"see pinectl history; to put it again, use pinectl edit with --expect 0")
	}
	return conflict(fmt.Sprintf("%s was changed by others: it is at version %d, the folder's is made from %d; nothing was changed", name, now, before),
		"compare with pinectl diff, take the change into the folder, and publish with --base "+strconv.FormatUint(now, 10))
}

func (p *plan) prune() error {
	if p.base == nil {
		return usage("prune: the folder does not say which files it had", "pull first, or give --base VERSION")
	}
	for _, name := range sorted(p.base.Files) {
		remote, exists := p.remote[name]
		if _, ok := p.local[name]; ok || !exists {
			continue
		}
		before := p.base.Files[name]
		if before.Version != remote.Version {
			return p.overtaken(name, before.Version, remote.Version)
		}
		p.changes = append(p.changes, record.FileChange{Name: name, Expect: before.Version, Remove: true})
	}
	return nil
}

// checkResult merges the files as they would be, to tell faults before a
// change goes to the log. The hosts check them again when they read it.
func (p *plan) checkResult() error {
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
		return wrongFiles("nothing was changed", faults)
	}
	return nil
}

// remember writes the folder's base after a change.
func (p *plan) remember(dir string, version uint64, note func(string, ...any)) {
	known := &base{Files: map[string]baseFile{}}
	if p.base != nil {
		known = p.base
	}
	for name, content := range p.local {
		if remote, ok := p.remote[name]; ok && bytes.Equal(remote.Content, content) {
			known.remember(name, remote.Version, content)
		}
	}
	for _, change := range p.changes {
		known.remember(change.Name, version, change.Content)
		if change.Remove {
			delete(known.Files, change.Name)
		}
	}
	if err := known.write(dir); err != nil {
		note("%v; give --base %d with the next publication", err, version)
	}
}

func (t *tool) pull(ctx context.Context, command *cli.Command) error {
	dir := command.Args().First()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "make folder")
	}
	p, err := t.compare(ctx, dir)
	if err != nil {
		return err
	}
	for _, name := range sorted(p.local) {
		unchanged := p.before(name).SHA256 == digest(p.local[name])
		if !unchanged && !bytes.Equal(p.local[name], p.remote[name].Content) {
			return conflict(name+" has changes that are not published; no file was written", "publish or remove it first, or pull to another folder")
		}
	}
	known := &base{Files: map[string]baseFile{}}
	names := sorted(p.remote)
	for _, name := range names {
		if config.CheckFileName(name) != "" {
			return failed(errors.Newf("the server names a file %q, which is not safe to write", name))
		}
		if err := os.WriteFile(filepath.Join(dir, name), p.remote[name].Content, 0o644); err != nil {
			return errors.Wrap(err, "write file")
		}
		known.remember(name, p.remote[name].Version, p.remote[name].Content)
	}
	for _, name := range sorted(p.local) {
		if _, ok := p.remote[name]; ok {
			continue
		}
		if err := os.Remove(filepath.Join(dir, name)); err != nil {
			return errors.Wrap(err, "remove file")
		}
	}
	if err := known.write(dir); err != nil {
		return err
	}
	return t.say(list(names), fmt.Sprintf("%s: %d files", dir, len(names)))
}

func sorted[T any](items map[string]T) []string {
	names := make([]string, 0, len(items))
	for name := range items {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
