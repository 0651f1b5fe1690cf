package config

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// folderOf makes a folder of files with five targets each, ten files to a
// service.
func folderOf(count int) []File {
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

// BenchmarkMerge merges folders of sizes a decade apart. B/file is the memory
// that the result holds for each file.
func BenchmarkMerge(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("files=%d", count), func(b *testing.B) {
			files := folderOf(count)
			before := heap()
			config, found := Merge(1, files)
			if len(found) > 0 {
				b.Fatalf("got %v, want no faults", found[0])
			}
			held := heap() - before
			for b.Loop() {
				_, _ = Merge(1, files)
			}
			b.ReportMetric(float64(held)/float64(count), "B/file")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*count), "us/file")
			runtime.KeepAlive(config)
		})
	}
}

// BenchmarkMergeAgain merges folders of which one file has changed. B/file
// is the memory that the Merger holds for each file beside the result.
func BenchmarkMergeAgain(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("files=%d", count), func(b *testing.B) {
			files := folderOf(count)
			before := heap()
			merger := &Merger{}
			merger.Merge(1, files)
			held := heap() - before
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
			b.ReportMetric(float64(held)/float64(count), "B/file")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*count), "us/file")
			runtime.KeepAlive(merger)
		})
	}
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
