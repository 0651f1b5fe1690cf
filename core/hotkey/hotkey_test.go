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

// TestMain fixes the seed of the property tests, unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// feed adds count requests over a span, with Zipf popularity among keys whose
// names begin with prefix.
func feed(sketch *Sketch, random *rand.Rand, from time.Time, span time.Duration, count int, prefix string) {
	zipf := rand.NewZipf(random, 1.3, 2, 100_000)
	for i := range count {
		at := from.Add(span * time.Duration(i) / time.Duration(count))
		sketch.Add(at, fmt.Sprint(prefix, zipf.Uint64()), 1)
	}
}

func hottest(t *testing.T, sketch *Sketch, now time.Time, want string) {
	t.Helper()
	top, _ := sketch.Top(now, 1)
	if len(top) != 1 || top[0].Name() != want {
		t.Errorf("hottest key: got %v, want %s", top, want)
	}
}

func TestTopFindsTheHottest(t *testing.T) {
	sketch := New(testSize, halfLife)
	random := rand.New(rand.NewPCG(testSeed, 0))
	feed(sketch, random, start, 30*time.Second, 30_000, "a")
	hottest(t, sketch, start.Add(30*time.Second), "a0")
}

func TestTopFollowsAMovingHotSet(t *testing.T) {
	sketch := New(testSize, halfLife)
	random := rand.New(rand.NewPCG(testSeed, 0))
	feed(sketch, random, start, 60*time.Second, 60_000, "a")
	feed(sketch, random, start.Add(60*time.Second), 10*time.Second, 10_000, "b")
	hottest(t, sketch, start.Add(70*time.Second), "b0")
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
	hottest(t, sketch, later, "new")
	if _, total := sketch.Top(later, 1); math.IsInf(total, 0) || math.IsNaN(total) {
		t.Errorf("total: got %v, want a finite number", total)
	}
}

// TestGuarantee checks the bounds of the space-saving sketch: no load is
// reported too low, none more than its error too high, and every key with more than 1/size
// of the load is listed.
func TestGuarantee(t *testing.T) {
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
		scale := sketch.perSecond(start)
		listed := map[string]bool{}
		top, _ := sketch.Top(start, size)
		for _, key := range top {
			listed[key.Name()] = true
			count, over := key.Load()/scale, key.Error()/scale
			if want := exact[key.Name()]; count < want-1e-6 || count-over > want+1e-6 {
				t.Fatalf("%s: got %v with error %v, want %v", key.Name(), count, over, want)
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
