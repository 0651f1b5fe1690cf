package pinectl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/core/config"
	"pineturn/core/record"
	"pineturn/io/operator"
)

// change orders changes of files, waits if asked, and prints the result. The
// result's version is set when the change was accepted, also with an error.
func (t *tool) change(ctx context.Context, command *cli.Command, changes []record.FileChange) (published, error) {
	result := published{Changed: []string{}, Removed: []string{}}
	if len(changes) == 0 {
		return result, t.say(result, "nothing to change")
	}
	version, err := t.submit(ctx, operator.ChangeFiles{Author: t.options.author, Changes: changes})
	if err != nil {
		return result, err
	}
	result.Version = version
	for _, change := range changes {
		if change.Remove {
			result.Removed = append(result.Removed, change.Name)
		} else {
			result.Changed = append(result.Changed, change.Name)
		}
	}
	if command.Bool("wait") {
		if err := t.wait(ctx, version, command.Duration("wait-timeout")); err != nil {
			return result, err
		}
		result.InForce = true
	}
	return result, t.say(result, result.String())
}

// String tells people of the change.
func (p published) String() string {
	text := fmt.Sprintf("version %d accepted", p.Version)
	if p.InForce {
		text = fmt.Sprintf("version %d in force on every live host", p.Version)
	}
	if len(p.Changed) > 0 {
		text += "\nchanged: " + strings.Join(p.Changed, ", ")
	}
	if len(p.Removed) > 0 {
		text += "\nremoved: " + strings.Join(p.Removed, ", ")
	}
	return text
}

// submit orders a change. When no answer tells its fate, the history does.
func (t *tool) submit(ctx context.Context, order operator.ChangeFiles) (uint64, error) {
	accepted, err := t.client.ChangeFiles(ctx, order)
	var told *operator.Error
	if err == nil || !errors.As(err, &told) {
		return accepted.Version, err
	}
	if told.Code == operator.CodeConflict {
		t.compareConflict(ctx, order, told)
	}
	if told.Code != operator.CodeUnknown {
		return 0, err
	}
	until := time.Now().Add(t.options.timeout)
	for time.Now().Before(until) {
		version, fateErr, known := t.fate(ctx, order)
		if known {
			return version, fateErr
		}
		if !pause(ctx, waitInterval) {
			break
		}
	}
	return 0, err
}

// compareConflict adds to a conflict that the change which came first has
// just the wanted content, as an earlier attempt would have.
func (t *tool) compareConflict(ctx context.Context, order operator.ChangeFiles, told *operator.Error) {
	file, err := t.client.File(ctx, told.File)
	if err != nil {
		return
	}
	for _, change := range order.Changes {
		if change.Name == file.Name && !change.Remove && bytes.Equal(change.Content, file.Content) {
			told.Detail = "it holds just what was asked for"
		}
	}
}

// fate looks for a change in the history. Each version of a file is replaced
// once, so the change that replaced it is either this one or came first. A
// file that did not exist may have been created more than once: only the
// newest change of it counts.
func (t *tool) fate(ctx context.Context, order operator.ChangeFiles) (version uint64, err error, known bool) {
	past, err := t.client.History(ctx, operator.DefaultHistoryLimit)
	if err != nil {
		return 0, nil, false
	}
	wanted := order.Changes[0]
	change, file, ok := replacing(past, wanted)
	switch {
	case !ok:
		return 0, nil, false
	case sameChange(change, order):
		return change.Version, nil, true
	case wanted.Expect > 0:
		return 0, &operator.Error{Code: operator.CodeConflict, File: file.Name, Current: change.Version}, true
	}
	return 0, nil, false
}

// replacing finds the change that replaced the version that another expects.
func replacing(past operator.History, wanted record.FileChange) (operator.Change, operator.ChangedFile, bool) {
	for _, change := range past.Changes {
		for _, file := range change.Files {
			if file.Name != wanted.Name {
				continue
			}
			if file.Replaced == wanted.Expect {
				return change, file, true
			}
			if wanted.Expect == 0 {
				return operator.Change{}, operator.ChangedFile{}, false
			}
		}
	}
	return operator.Change{}, operator.ChangedFile{}, false
}

// sameChange reports whether an accepted change holds all that an order
// asked for. Changes of others may have been accepted with it.
func sameChange(change operator.Change, order operator.ChangeFiles) bool {
	for _, wanted := range order.Changes {
		found := slices.ContainsFunc(change.Files, func(file operator.ChangedFile) bool {
			return file.Name == wanted.Name && file.Replaced == wanted.Expect &&
				file.Removed == wanted.Remove && bytes.Equal(file.Content, wanted.Content)
		})
		if !found {
			return false
		}
	}
	return true
}

// pause waits, and reports whether the run goes on.
func pause(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// wait returns when a version is in force on every live host.
func (t *tool) wait(ctx context.Context, version uint64, limit time.Duration) error {
	until := time.Now().Add(limit)
	var behind []string
	for {
		hosts, err := t.client.Hosts(ctx)
		if err == nil {
			behind = notInForce(hosts, version)
			if len(behind) == 0 {
				return nil
			}
		} else if behind == nil {
			behind = []string{"the hosts are not known: " + err.Error()}
		}
		if time.Now().After(until) || !pause(ctx, waitInterval) {
			return &failure{
				Status: StatusNotInForce, Code: "not-in-force", Version: version, Hosts: behind,
				Message: fmt.Sprintf("version %d is accepted, but not in force on every live host after %v", version, limit),
				Next:    "it stays accepted; look at these hosts with pinectl hosts",
			}
		}
	}
}

// notInForce names the hosts that serve and don't have a version yet.
func notInForce(hosts []operator.Host, version uint64) []string {
	var behind []string
	for _, host := range hosts {
		switch {
		case host.Leaving:
		case !host.Reachable:
			behind = append(behind, fmt.Sprintf("%s: can't be reached: %s", host.Incarnation, or(host.Error, "no answer")))
		case host.ConfigVersion < version:
			behind = append(behind, fmt.Sprintf("%s: at version %d", host.Incarnation, host.ConfigVersion))
		}
	}
	if len(hosts) == 0 {
		behind = append(behind, "no host is known")
	}
	return behind
}

func (t *tool) edit(ctx context.Context, command *cli.Command) error {
	path := command.Args().First()
	name := filepath.Base(path)
	if text := config.CheckFileName(name); text != "" {
		return usage(name+": "+text, "rename the file")
	}
	content, err := t.content(or(command.String("from"), path))
	if err != nil {
		return err
	}
	_, err = t.change(ctx, command, []record.FileChange{{Name: name, Expect: command.Uint64("expect"), Content: content}})
	return err
}

// content reads a file, or standard input when path is "-".
func (t *tool) content(path string) ([]byte, error) {
	if path != "-" {
		return readFile(path)
	}
	content, err := io.ReadAll(io.LimitReader(t.in, config.MaxFileSize+1))
	return content, errors.Wrap(err, "read standard input")
}

func (t *tool) remove(ctx context.Context, command *cli.Command) error {
	change := record.FileChange{Name: command.Args().First(), Expect: command.Uint64("expect"), Remove: true}
	_, err := t.change(ctx, command, []record.FileChange{change})
	return err
}
