package hotkey

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testSeed = 5
	testSize = 64
	halfLife = 5 * time.Second
)

// TestMain sets a fixed seed for the property tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// addRequests adds count requests, evenly spread over span, to keys with the given
// prefix and Zipf-distributed popularity.
func addRequests(sketch *Sketch, random *rand.Rand, from time.Time, span time.Duration, count int, prefix string) {
	zipf := rand.NewZipf(random, 1.3, 2, 100_000)
	for i := range count {
		at := from.Add(span * time.Duration(i) / time.Duration(count))
		sketch.Add(at, fmt.Sprint(prefix, zipf.Uint64()), 1)
	}
}

func wantHottest(t *testing.T, sketch *Sketch, now time.Time, want string) {
	t.Helper()
	top, _ := sketch.Top(now, 1)
	if len(top) != 1 || top[0].Name() != want {
		t.Errorf("hottest key: got %v, want %s", top, want)
	}
}

func TestTopReturnsHottestKey(t *testing.T) {
	sketch := New(testSize, halfLife)
	random := rand.New(rand.NewPCG(testSeed, 0))
	addRequests(sketch, random, start, 30*time.Second, 30_000, "a")
	wantHottest(t, sketch, start.Add(30*time.Second), "a0")
}

func TestTopFollowsChangingHotKeys(t *testing.T) {
	sketch := New(testSize, halfLife)
	random := rand.New(rand.NewPCG(testSeed, 0))
	addRequests(sketch, random, start, 60*time.Second, 60_000, "a")
	addRequests(sketch, random, start.Add(60*time.Second), 10*time.Second, 10_000, "b")
	wantHottest(t, sketch, start.Add(70*time.Second), "b0")
}

func TestLoadIsPerSecond(t *testing.T) {
	sketch := New(testSize, halfLife)
	for i := range 60_000 {
		sketch.Add(start.Add(time.Duration(i)*time.Millisecond), "k", 1)
	}
	top, total := sketch.Top(start.Add(time.Minute), 1)
	if got := top[0].Load(); math.Abs(got-1000) > 10 || math.Abs(total-1000) > 10 {
		t.Errorf("load: got %.0f of %.0f, want about 1000", got, total)
	}
}

func TestCountsSurviveRescaling(t *testing.T) {
	sketch := New(testSize, halfLife)
	sketch.Add(start, "old", 1e9)
	later := start.Add(2 * maxExponent * halfLife)
	sketch.Add(later, "new", 1)
	wantHottest(t, sketch, later, "new")
	if _, total := sketch.Top(later, 1); math.IsInf(total, 0) || math.IsNaN(total) {
		t.Errorf("total: got %v, want a finite number", total)
	}
}

// TestErrorBounds checks the guarantees of a space-saving sketch: no load is too low
// or more than its error too high, and each key with more than 1/size of the total
// load is listed.
func TestErrorBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 20).Draw(t, "size")
		names := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 400).Draw(t, "keys")
		sketch := New(size, halfLife)
		exact := map[string]float64{}
		for _, name := range names {
			key := fmt.Sprint(name)
			sketch.Add(start, key, 1)
			exact[key]++
		}
		scale := sketch.rateScale(start)
		listed := map[string]bool{}
		top, _ := sketch.Top(start, size)
		for _, key := range top {
			listed[key.Name()] = true
			count, errorBound := key.Load()/scale, key.Uncertainty()/scale
			if want := exact[key.Name()]; count < want-1e-6 || count-errorBound > want+1e-6 {
				t.Fatalf("%s: got %v with error %v, want %v", key.Name(), count, errorBound, want)
			}
		}
		for key, count := range exact {
			if count > float64(len(names))/float64(size) && !listed[key] {
				t.Fatalf("%s with %v of %d is not listed", key, count, len(names))
			}
		}
		if len(sketch.byKey) > size || len(sketch.entries) > size {
			t.Fatalf("got %d keys, want at most %d", len(sketch.byKey), size)
		}
	})
}

func BenchmarkAdd(b *testing.B) {
	for _, size := range []int{64, 256, 1024} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			random := rand.New(rand.NewPCG(testSeed, 0))
			zipf := rand.NewZipf(random, 1.1, 2, 1_000_000)
			keys := make([]string, 1<<16)
			for i := range keys {
				keys[i] = fmt.Sprint("yard-07.truck-", zipf.Uint64())
			}
			sketch := New(size, halfLife)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				sketch.Add(start.Add(time.Duration(i)*time.Microsecond), keys[i&(1<<16-1)], 1)
			}
		})
	}
}
