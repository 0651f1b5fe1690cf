package security

import (
	"fmt"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/clock"
)

// lookInterval is how long a look at the files is good for.
const lookInterval = time.Second

// watched is content read from files, read again when they change. Content
// that can't be read leaves what was there before in force.
type watched[T any] struct {
	files []string
	read  func() (T, error)
	clock clock.Clock

	mu     sync.Mutex
	looked time.Time
	infos  []os.FileInfo
	value  T
	fault  string // the last error that was logged
}

// watch reads files for the first time.
func watch[T any](files []string, clk clock.Clock, read func() (T, error)) (*watched[T], error) {
	w := &watched[T]{files: files, read: read, clock: clk, looked: clk.Now()}
	var err error
	if w.infos, err = w.stat(); err != nil {
		return nil, err
	}
	if w.value, err = read(); err != nil {
		return nil, err
	}
	return w, nil
}

// get returns the content in force.
func (w *watched[T]) get() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if now.Sub(w.looked) >= lookInterval {
		w.looked = now
		w.refresh()
	}
	return w.value
}

// refresh reads the files when any of them has changed. The caller holds mu.
func (w *watched[T]) refresh() {
	infos, err := w.stat()
	if err == nil && same(w.infos, infos) {
		return
	}
	var value T
	if err == nil {
		value, err = w.read()
	}
	if err != nil {
		w.complain(err)
		return
	}
	w.infos, w.value, w.fault = infos, value, ""
	klog.InfoS("Security files read again", "files", w.files)
}

// complain logs an error unless it is the one logged last.
func (w *watched[T]) complain(err error) {
	if w.fault == err.Error() {
		return
	}
	w.fault = err.Error()
	klog.ErrorS(err, "Changed security files can't be read, the former ones stay in force", "files", w.files)
}

// stat looks at the files.
func (w *watched[T]) stat() ([]os.FileInfo, error) {
	infos := make([]os.FileInfo, 0, len(w.files))
	for _, file := range w.files {
		info, err := os.Stat(file)
		if err != nil {
			return nil, fmt.Errorf("look at security file: %w", err)
		}
		infos = append(infos, info)
	}
	return infos, nil
}

// same reports whether nothing has changed between two looks.
func same(before, after []os.FileInfo) bool {
	for i := range before {
		if !os.SameFile(before[i], after[i]) ||
			!before[i].ModTime().Equal(after[i].ModTime()) ||
			before[i].Size() != after[i].Size() {
			return false
		}
	}
	return true
}
