package pinectl

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"pineturn/core/config"
	"pineturn/core/record"
	"pineturn/core/shard"
	"pineturn/io/operator"
	"pineturn/io/security"
)

// fakeDaemon is a daemon that stores the files in memory. mode is the failure that it
// simulates.
type fakeDaemon struct {
	keys    *security.Keys
	mu      sync.Mutex
	mode    string
	next    uint64
	files   map[string]operator.File
	changes []operator.Change
	drained map[record.Target]bool
}

func newFakeDaemon(keys *security.Keys) *fakeDaemon {
	return &fakeDaemon{keys: keys, next: 10, files: map[string]operator.File{}, drained: map[record.Target]bool{}}
}

func (f *fakeDaemon) handler() http.Handler {
	server := operator.Server{
		Authorize: f.authorize,
		Commands:  operator.Commands{Submit: f.submit, Reset: f.reset},
		Queries: operator.Queries{
			State: f.state, Hosts: f.hosts, Targets: f.targets, Shards: f.shards, Key: f.key, Moves: f.moves,
			Files: f.list, History: f.history,
		},
	}
	return server.Handler()
}

func (f *fakeDaemon) authorize(r *http.Request) error {
	if !f.keys.Authorized(r) {
		return errors.New("wrong key")
	}
	return nil
}

func (f *fakeDaemon) setMode(mode string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = mode
}

func (f *fakeDaemon) submit(_ context.Context, ops []record.Op) ([]operator.Result, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.mode {
	case "unavailable":
		return nil, 0, errors.Wrap(operator.ErrUnavailable, "the log is down")
	case "unknown":
		return nil, 0, errors.Wrap(operator.ErrUnknownOutcome, "the log does not respond")
	case "race":
		f.mode = ""
		name := ops[0].Files.Changes[0].Name
		f.apply(&record.Files{Author: "other", Changes: []record.FileChange{
			{Name: name, Expect: f.files[name].Version, Content: []byte("# other\n")},
		}})
	}
	if ops[0].Drain != nil {
		f.drained[ops[0].Drain.Target] = ops[0].Drain.On
		return []operator.Result{{Accepted: true}}, f.next, nil
	}
	result := f.apply(ops[0].Files)
	if f.mode == "response-lost" {
		panic(http.ErrAbortHandler)
	}
	return []operator.Result{result}, f.next, nil
}

// apply applies a change of files like package fold in a daemon.
func (f *fakeDaemon) apply(files *record.Files) operator.Result {
	after := map[string]operator.File{}
	for name, file := range f.files {
		after[name] = file
	}
	change := operator.Change{Version: f.next + 1, Author: files.Author}
	for _, wanted := range files.Changes {
		before := f.files[wanted.Name]
		if before.Version != wanted.Expect {
			return operator.Result{Conflict: true, File: wanted.Name, Current: before.Version}
		}
		change.Files = append(change.Files, operator.ChangedFile{
			Name: wanted.Name, Replaced: wanted.Expect, Before: before.Content, Content: wanted.Content, Removed: wanted.Remove,
		})
		after[wanted.Name] = operator.File{
			Name: wanted.Name, Version: f.next + 1, Size: len(wanted.Content), Content: wanted.Content,
		}
		if wanted.Remove {
			delete(after, wanted.Name)
		}
	}
	if _, faults := config.Merge(f.next, contents(after)); len(faults) > 0 {
		return operator.Result{Reason: "the files do not fit", Faults: faults}
	}
	f.next++
	f.files = after
	f.changes = append([]operator.Change{change}, f.changes...)
	return operator.Result{Accepted: true}
}

func contents(files map[string]operator.File) []config.File {
	var list []config.File
	for name, file := range files {
		list = append(list, config.File{Name: name, Content: file.Content})
	}
	return list
}

func (f *fakeDaemon) reset(context.Context) (operator.Result, uint64, error) {
	return operator.Result{Accepted: true}, 99, nil
}

func (f *fakeDaemon) list(context.Context) ([]operator.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []operator.File
	for _, file := range f.files {
		list = append(list, file)
	}
	slices.SortFunc(list, func(a, b operator.File) int { return cmp.Compare(a.Name, b.Name) })
	return list, nil
}

func (f *fakeDaemon) history(_ context.Context, limit int) (operator.History, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return operator.History{Changes: f.changes[:min(limit, len(f.changes))], Truncated: limit < len(f.changes)}, nil
}

func (f *fakeDaemon) state(context.Context) (operator.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return operator.State{
		Host: member("host-1").Incarnation, Ready: true, ConfigVersion: f.next, Members: 2, MembershipEpoch: 4,
		Unavailable: []string{"the log service"},
	}, nil
}

func member(host string) record.Member {
	return record.Member{Incarnation: record.Incarnation{Host: host, Run: 3}, Address: "127.0.0.11:7100", Domain: "pos-a"}
}

func (f *fakeDaemon) hosts(context.Context) ([]operator.Host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first, second := member("host-1"), member("host-2")
	list := []operator.Host{
		{Incarnation: first.Incarnation, Address: first.Address, Domain: first.Domain, Member: true, Reachable: true, Ready: true, ConfigVersion: f.next},
		{Incarnation: second.Incarnation, Member: true, Reachable: true, Ready: true, ConfigVersion: f.next},
	}
	switch f.mode {
	case "behind":
		list[1].ConfigVersion = 1
	case "unreachable":
		list[1] = operator.Host{Incarnation: second.Incarnation, Member: true, Suspected: true, Error: "connection refused"}
	}
	return list, nil
}

func (f *fakeDaemon) targets(context.Context) ([]operator.Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := record.Target{Service: "payoutledger", Name: "payoutledger-1"}
	host := member("host-1").Incarnation
	return []operator.Target{
		{ID: id, Leaseholder: &host, Term: 7, GrantLeftMs: 900, InFlight: 1, Slots: 2, Health: "ok", Drain: f.drained[id]},
		{ID: record.Target{Service: "payoutledger", Name: "payoutledger-2"}, Unavailable: "no response for 3s"},
	}, nil
}

func (f *fakeDaemon) shards(context.Context, string) ([]operator.Shard, error) {
	host := member("host-1").Incarnation
	return []operator.Shard{{
		ID: shard.ID{Service: "payoutledger", Group: "all", Index: 17}, Owner: "payoutledger-1", Epoch: 5, Leaseholder: &host,
		Former: []string{"payoutledger-2"}, Reason: "payoutledger-2 drains",
	}}, nil
}

func (f *fakeDaemon) key(ctx context.Context, service, key string) (operator.Key, error) {
	if service != "payoutledger" {
		return operator.Key{}, &operator.Error{Code: operator.CodeNotFound, Detail: "no service " + service}
	}
	shards, err := f.shards(ctx, service)
	return operator.Key{Service: service, Key: key, Shard: shards[0], Term: 7}, err
}

func (f *fakeDaemon) moves(context.Context) ([]operator.Move, error) {
	return nil, nil
}
