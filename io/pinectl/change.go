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

	"pineturn/core/clock"
	"pineturn/core/config"
	"pineturn/core/record"
	"pineturn/io/operator"
)

// change submits changes of files, waits until they are in force if --wait is
// set, and prints a summary. The Version of the returned summary is set once the
// change was accepted, also if an error is returned.
func (inv *invocation) change(ctx context.Context, command *cli.Command, changes []record.FileChange) (changeSummary, error) {
	result := changeSummary{Changed: []string{}, Removed: []string{}}
	if len(changes) == 0 {
		return result, inv.printText(result, "nothing to change")
	}
	version, err := inv.submit(ctx, operator.ChangeFiles{Author: inv.options.author, Changes: changes})
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
		if err := inv.waitInForce(ctx, version, command.Duration("wait-timeout")); err != nil {
			return result, err
		}
		result.InForce = true
	}
	return result, inv.printText(result, result.String())
}

// String returns the summary as text for the table format.
func (p changeSummary) String() string {
	text := fmt.Sprintf("version %d accepted", p.Version)
	if p.InForce {
		text = fmt.Sprintf("version %d in force on every host that is not leaving", p.Version)
	}
	if len(p.Changed) > 0 {
		text += "\nchanged: " + strings.Join(p.Changed, ", ")
	}
	if len(p.Removed) > 0 {
		text += "\nremoved: " + strings.Join(p.Removed, ", ")
	}
	return text
}

// submit submits a change and returns its version. If the response does not give
// the outcome, submit looks for the change in the history until the timeout.
func (inv *invocation) submit(ctx context.Context, request operator.ChangeFiles) (uint64, error) {
	accepted, err := inv.client.ChangeFiles(ctx, request)
	var serverErr *operator.Error
	if err == nil || !errors.As(err, &serverErr) {
		return accepted.Version, err
	}
	if serverErr.Code == operator.CodeConflict {
		inv.compareConflict(ctx, request, serverErr)
	}
	if serverErr.Code != operator.CodeUnknown {
		return 0, err
	}
	deadline := time.Now().Add(inv.options.timeout)
	for time.Now().Before(deadline) {
		version, outcomeErr, found := inv.findOutcome(ctx, request)
		if found {
			return version, outcomeErr
		}
		if !clock.Sleep(ctx, waitInterval) {
			break
		}
	}
	return 0, err
}

// compareConflict adds a detail to a conflict if the file in force already has the
// requested content, for example because an earlier attempt took effect.
func (inv *invocation) compareConflict(ctx context.Context, request operator.ChangeFiles, serverErr *operator.Error) {
	file, err := inv.client.File(ctx, serverErr.File)
	if err != nil {
		return
	}
	for _, change := range request.Changes {
		if change.Name == file.Name && !change.Remove && bytes.Equal(change.Content, file.Content) {
			serverErr.Detail = "it already has the requested content"
		}
	}
}

// findOutcome looks for the outcome of a change in the history. Each version of a
// file is replaced only once, so the change that replaced the expected version is
// either this change or one that came first. A file that did not exist may have
// been created more than once, so only its newest change is considered. found is
// false if the history does not show the outcome.
func (inv *invocation) findOutcome(ctx context.Context, request operator.ChangeFiles) (version uint64, err error, found bool) {
	history, err := inv.client.History(ctx, operator.DefaultHistoryLimit)
	if err != nil {
		return 0, nil, false
	}
	wanted := request.Changes[0]
	change, file, ok := findReplacing(history, wanted)
	switch {
	case !ok:
		return 0, nil, false
	case sameChange(change, request):
		return change.Version, nil, true
	case wanted.Expect > 0:
		return 0, &operator.Error{Code: operator.CodeConflict, File: file.Name, Current: change.Version}, true
	}
	return 0, nil, false
}

// findReplacing returns the change that replaced the version that wanted expects,
// and the file of that change.
func findReplacing(history operator.History, wanted record.FileChange) (operator.Change, operator.ChangedFile, bool) {
	for _, change := range history.Changes {
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

// sameChange reports whether an accepted change contains all changes of a
// request. It may also contain changes by others that were accepted with it.
func sameChange(change operator.Change, request operator.ChangeFiles) bool {
	for _, wanted := range request.Changes {
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

// waitInForce waits until a version is in force on every host that is not leaving. The error is a
// failure with StatusNotInForce if that does not happen within timeout.
func (inv *invocation) waitInForce(ctx context.Context, version uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	var behind []string
	for {
		hosts, err := inv.client.Hosts(ctx)
		if err == nil {
			behind = hostsBehind(hosts, version)
			if len(behind) == 0 {
				return nil
			}
		} else if behind == nil {
			behind = []string{"the list of hosts is not available: " + err.Error()}
		}
		if time.Now().After(deadline) || !clock.Sleep(ctx, waitInterval) {
			return &failure{
				Status: StatusNotInForce, Code: "not-in-force", Version: version, Hosts: behind,
				Message: fmt.Sprintf("version %d is accepted, but not in force on every host that is not leaving after %v", version, timeout),
				Next:    "the change stays accepted; check these hosts with pinectl hosts",
			}
		}
	}
}

// hostsBehind lists the hosts on which a version is not in force yet. Hosts that
// are leaving are skipped. If there are no hosts at all, it returns an entry that
// says so.
func hostsBehind(hosts []operator.Host, version uint64) []string {
	var behind []string
	for _, host := range hosts {
		switch {
		case host.Leaving:
		case !host.Reachable:
			behind = append(behind, fmt.Sprintf("%s: can't be reached: %s", host.Incarnation, orDefault(host.Error, "no reply")))
		case host.ConfigVersion < version:
			behind = append(behind, fmt.Sprintf("%s: at version %d", host.Incarnation, host.ConfigVersion))
		}
	}
	if len(hosts) == 0 {
		behind = append(behind, "no host is listed")
	}
	return behind
}

func (inv *invocation) edit(ctx context.Context, command *cli.Command) error {
	path := command.Args().First()
	name := filepath.Base(path)
	if text := config.CheckFileName(name); text != "" {
		return usageFailure(name+": "+text, "rename the file")
	}
	content, err := inv.content(orDefault(command.String("from"), path))
	if err != nil {
		return err
	}
	_, err = inv.change(ctx, command, []record.FileChange{{Name: name, Expect: command.Uint64("expect"), Content: content}})
	return err
}

// content reads a file, or standard input when path is "-".
func (inv *invocation) content(path string) ([]byte, error) {
	if path != "-" {
		return readFile(path)
	}
	content, err := io.ReadAll(io.LimitReader(inv.in, config.MaxFileSize+1))
	return content, errors.Wrap(err, "read standard input")
}

func (inv *invocation) remove(ctx context.Context, command *cli.Command) error {
	change := record.FileChange{Name: command.Args().First(), Expect: command.Uint64("expect"), Remove: true}
	_, err := inv.change(ctx, command, []record.FileChange{change})
	return err
}
