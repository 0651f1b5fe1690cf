package workload

import (
	"testing"
	"time"
)

const testSeed = 11

func requestsOf(t *testing.T, name string, seed uint64) []*Request {
	t.Helper()
	load, err := Named(name)
	if err != nil {
		t.Fatal(err)
	}
	schedule, err := NewSchedule(load, Options{Seed: seed, Rate: 1000, Duration: 20 * time.Second, HotSetPeriod: 5 * time.Second, Run: "r"})
	if err != nil {
		t.Fatal(err)
	}
	var requests []*Request
	for {
		request, ok := schedule.Next()
		if !ok {
			return requests
		}
		requests = append(requests, request)
	}
}

func TestScheduleIsRepeatable(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			first, second := requestsOf(t, name, testSeed), requestsOf(t, name, testSeed)
			if len(first) != len(second) {
				t.Fatalf("got %d requests, want %d", len(second), len(first))
			}
			for i := range first {
				if got, want := *second[i], *first[i]; got.key != want.key || got.due != want.due || got.id != want.id {
					t.Fatalf("request %d: got %v, want %v", i, got, want)
				}
			}
		})
	}
}

func TestSchedulesOfTwoSeedsDiffer(t *testing.T) {
	first, second := requestsOf(t, "caroni", testSeed), requestsOf(t, "caroni", testSeed+1)
	if first[0].due == second[0].due && first[0].key == second[0].key {
		t.Errorf("got the same first request %v for two seeds", *first[0])
	}
}

func TestScheduleMatchesShares(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			requests := requestsOf(t, name, testSeed)
			counts := map[string]int{}
			for _, request := range requests {
				counts[request.Service()]++
			}
			load, _ := Named(name)
			for _, service := range load.Services() {
				got := float64(counts[service.Name()]) / float64(len(requests))
				if got < service.Share()-0.02 || got > service.Share()+0.02 {
					t.Errorf("share of %s: got %.3f, want about %.2f", service.Name(), got, service.Share())
				}
			}
		})
	}
}

func TestHotKeysMove(t *testing.T) {
	requests := requestsOf(t, "tomor", testSeed)
	hottest := map[int]string{}
	counts := map[int]map[string]int{}
	for _, request := range requests {
		if request.Service() != "scale-read" {
			continue
		}
		phase := int(request.Due() / (5 * time.Second))
		if counts[phase] == nil {
			counts[phase] = map[string]int{}
		}
		counts[phase][request.Key()]++
		if counts[phase][request.Key()] > counts[phase][hottest[phase]] {
			hottest[phase] = request.Key()
		}
	}
	seen := map[string]bool{}
	for _, key := range hottest {
		seen[key] = true
	}
	if got, want := len(seen), 4; got != want {
		t.Errorf("hottest keys over four phases: got %d different, want %d (%v)", got, want, hottest)
	}
}

func TestPayoutsMustNotBeRepeated(t *testing.T) {
	for _, name := range Names() {
		for _, request := range requestsOf(t, name, testSeed) {
			if got, want := request.Operation().Once(), request.Method() == "POST"; got != want {
				t.Fatalf("%s %s: got once %v, want %v", name, request.Operation().Name(), got, want)
			}
		}
	}
}

func TestPathContainsServiceTimeAndSize(t *testing.T) {
	operation := Operation{path: "/statement", serviceTime: 2500 * time.Microsecond, size: 100}
	if got, want := operation.Path(), "/statement?ms=2.5&size=100"; got != want {
		t.Errorf("path: got %s, want %s", got, want)
	}
}
