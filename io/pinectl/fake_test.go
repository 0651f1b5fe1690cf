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

// fake is a daemon that keeps the files in memory. Its mode says how it
// fails.
type fake struct {
	keys    *security.Keys
	mu      sync.Mutex
	mode    string
	next    uint64
	files   map[string]operator.File
	changes []operator.Change
	drained map[record.Target]bool
}

func newFake(keys *security.Keys) *fake {
	return &fake{keys: keys, next: 10, files: map[string]operator.File{}, drained: map[record.Target]bool{}}
}

func (f *fake) handler() http.Handler {
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

func (f *fake) authorize(r *http.Request) error {
	if !f.keys.Authorized(r) {
		return errors.New("wrong key")
	}
	return nil
}

func (f *fake) set(mode string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = mode
}

func (f *fake) submit(_ context.Context, ops []record.Op) ([]operator.Result, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.mode {
	case "unavailable":
		return nil, 0, errors.Wrap(operator.ErrUnavailable, "the log is down")
	case "unknown":
		return nil, 0, errors.Wrap(operator.ErrUnknownOutcome, "the log does not answer")
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
	verdict := f.apply(ops[0].Files)
	if f.mode == "lost" {
		panic(http.ErrAbortHandler)
	}
	return []operator.Result{verdict}, f.next, nil
}

// apply does what the fold of a daemon does.
func (f *fake) apply(files *record.Files) operator.Result {
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
	if _, found := config.Merge(f.next, contents(after)); len(found) > 0 {
		return operator.Result{Reason: "the files do not fit", Faults: found}
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

func (f *fake) reset(context.Context) (operator.Result, uint64, error) {
	return operator.Result{Accepted: true}, 99, nil
}

func (f *fake) list(context.Context) ([]operator.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []operator.File
	for _, file := range f.files {
		list = append(list, file)
	}
	slices.SortFunc(list, func(a, b operator.File) int { return cmp.Compare(a.Name, b.Name) })
	return list, nil
}

func (f *fake) history(_ context.Context, limit int) (operator.History, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return operator.History{Changes: f.changes[:min(limit, len(f.changes))], Truncated: limit < len(f.changes)}, nil
}

func (f *fake) state(context.Context) (operator.State, error) {
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

func (f *fake) hosts(context.Context) ([]operator.Host, error) {
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
	case "cut-off":
		list[1] = operator.Host{Incarnation: second.Incarnation, Member: true, Suspected: true, Error: "connection refused"}
	}
	return list, nil
}

func (f *fake) targets(context.Context) ([]operator.Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := record.Target{Service: "payoutledger", Name: "payoutledger-1"}
	host := member("host-1").Incarnation
	return []operator.Target{
		{ID: id, Leaseholder: &host, Term: 7, GrantLeftMs: 900, InFlight: 1, Slots: 2, Health: "ok", Drain: f.drained[id]},
		{ID: record.Target{Service: "payoutledger", Name: "payoutledger-2"}, Unavailable: "no answer for 3s"},
	}, nil
}

func (f *fake) shards(context.Context, string) ([]operator.Shard, error) {
	host := member("host-1").Incarnation
	return []operator.Shard{{
		ID: shard.ID{Service: "payoutledger", Group: "all", Index: 17}, Owner: "payoutledger-1", Epoch: 5, Leaseholder: &host,
		Former: []string{"payoutledger-2"}, Reason: "payoutledger-2 drains",
	}}, nil
}

func (f *fake) key(ctx context.Context, service, key string) (operator.Key, error) {
	if service != "payoutledger" {
		return operator.Key{}, &operator.Error{Code: operator.CodeNotFound, Detail: "no service " + service}
	}
	shards, err := f.shards(ctx, service)
	return operator.Key{Service: service, Key: key, Shard: shards[0], Term: 7}, err
}

func (f *fake) moves(context.Context) ([]operator.Move, error) {
	return nil, nil
}
