package security

import (
	"fmt"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/clock"
)

// checkInterval is the minimum interval between checks of the files for changes.
const checkInterval = time.Second

// reloader holds a value loaded from files, and reloads it when the files change. If
// the changed files cannot be read, the previous value stays in use.
type reloader[T any] struct {
	files []string
	load  func() (T, error)
	clock clock.Clock

	mu sync.Mutex
	// checkedAt is the time of the latest check of the files.
	checkedAt time.Time
	// infos describes the files, in the order of files, that value was loaded
	// from.
	infos []os.FileInfo
	value T
	// loggedError is the error logged latest, empty after a reload.
	loggedError string
}

// newReloader loads the value for the first time.
func newReloader[T any](files []string, clk clock.Clock, load func() (T, error)) (*reloader[T], error) {
	r := &reloader[T]{files: files, load: load, clock: clk, checkedAt: clk.Now()}
	var err error
	if r.infos, err = r.stat(); err != nil {
		return nil, err
	}
	if r.value, err = load(); err != nil {
		return nil, err
	}
	return r, nil
}

// get returns the current value. At most once per checkInterval, it first checks the
// files for changes.
func (r *reloader[T]) get() T {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if now.Sub(r.checkedAt) >= checkInterval {
		r.checkedAt = now
		r.refresh()
	}
	return r.value
}

// refresh reloads the value if any of the files has changed. mu must be held.
func (r *reloader[T]) refresh() {
	infos, err := r.stat()
	if err == nil && unchanged(r.infos, infos) {
		return
	}
	var value T
	if err == nil {
		value, err = r.load()
	}
	if err != nil {
		r.logError(err)
		return
	}
	r.infos, r.value, r.loggedError = infos, value, ""
	klog.InfoS("Reloaded security files", "files", r.files)
}

// logError logs an error unless it equals the error logged latest.
func (r *reloader[T]) logError(err error) {
	if r.loggedError == err.Error() {
		return
	}
	r.loggedError = err.Error()
	klog.ErrorS(err, "Failed to reload changed security files; the previous content stays in use", "files", r.files)
}

// stat returns the file information of all files.
func (r *reloader[T]) stat() ([]os.FileInfo, error) {
	infos := make([]os.FileInfo, 0, len(r.files))
	for _, file := range r.files {
		info, err := os.Stat(file)
		if err != nil {
			return nil, fmt.Errorf("check security file: %w", err)
		}
		infos = append(infos, info)
	}
	return infos, nil
}

// unchanged reports whether the files are the same, with the same modification times
// and sizes.
func unchanged(before, after []os.FileInfo) bool {
	for i := range before {
		if !os.SameFile(before[i], after[i]) ||
			!before[i].ModTime().Equal(after[i].ModTime()) ||
			before[i].Size() != after[i].Size() {
			return false
		}
	}
	return true
}
