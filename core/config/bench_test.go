package config

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// sampleFiles returns files with five targets each. Ten files belong to the same
// service.
func sampleFiles(count int) []File {
	files := make([]File, count)
	for i := range files {
		var text strings.Builder
		fmt.Fprintf(&text, "services:\n  service-%d:\n    timeout: 800ms\n    targets:\n", i/10)
		for j := range 5 {
			fmt.Fprintf(&text, "      target-%d-%d: {address: \"127.%d.%d.%d:9001\", domain: domain-%d, slots: 2, connections: 100}\n",
				i, j, i/256, i%256, j+1, j)
		}
		files[i] = File{Name: fmt.Sprintf("%05d.yaml", i), Content: []byte(text.String())}
	}
	return files
}

// BenchmarkMerge merges folders whose sizes differ by a factor of ten. B/file is
// the memory per file that the result uses.
func BenchmarkMerge(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("files=%d", count), func(b *testing.B) {
			files := sampleFiles(count)
			before := heapInUse()
			config, found := Merge(1, files)
			if len(found) > 0 {
				b.Fatalf("got %v, want no faults", found[0])
			}
			used := heapInUse() - before
			for b.Loop() {
				_, _ = Merge(1, files)
			}
			b.ReportMetric(float64(used)/float64(count), "B/file")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*count), "us/file")
			runtime.KeepAlive(config)
		})
	}
}

// BenchmarkMergeAgain merges folders after one file has changed. B/file is the
// memory per file that the Merger uses in addition to the result.
func BenchmarkMergeAgain(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("files=%d", count), func(b *testing.B) {
			files := sampleFiles(count)
			before := heapInUse()
			merger := &Merger{}
			merger.Merge(1, files)
			used := heapInUse() - before
			change := files[count/2].Content
			for b.Loop() {
				change = append(change[:len(change):len(change)], '\n')
				if len(change) > MaxFileSize/2 {
					change = bytes.TrimRight(change, "\n")
				}
				files[count/2].Content = change
				if _, found := merger.Merge(1, files); len(found) > 0 {
					b.Fatalf("got %v, want no faults", found[0])
				}
			}
			b.ReportMetric(float64(used)/float64(count), "B/file")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*count), "us/file")
			runtime.KeepAlive(merger)
		})
	}
}

// heapInUse returns the allocated heap in bytes after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
