package routing

import (
	"fmt"
	"math"
	"testing"
)

func table() *Table {
	return NewTable(&Config{Version: 1, Services: map[string]Service{"a": {Name: "a", Keyed: true}}, Routes: []Route{
		{Name: "root", Host: "One.example", Prefix: "/", Parts: []Part{{Service: "a", Weight: 1}}},
		{Name: "deep", Host: "one.example", Prefix: "/x/y/", Parts: []Part{{Service: "b", Weight: 1}}},
		{Name: "split", Host: "two.example", Prefix: "/s/", Parts: []Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}},
	}})
}

func TestFind(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"one.example", "/x/y/z", "deep"}, {"ONE.example:80", "/x/y/", "deep"}, {"one.example", "/x/y", "root"},
		{"two.example", "/other", ""}, {"three.example", "/", ""}, {"", "/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			match, ok := table().Find(c.host, c.path)
			got := ""
			if ok {
				got = match.Route.Name
			}
			if got != c.want {
				t.Errorf("route: got %q, want %q", got, c.want)
			}
		})
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	for _, n := range []int{50, 300, 3000} {
		t.Run(fmt.Sprint(n, " requests"), func(t *testing.T) {
			tab := table()
			count := 0
			for range n {
				match, _ := tab.Find("two.example", "/s/")
				if match.Service.Name == "b" {
					count++
				}
			}
			if got := float64(count) / float64(n); math.Abs(got-0.1) > 0.03 {
				t.Errorf("share of the part with 10%% of the weight: got %.3f, want 0.1", got)
			}
		})
	}
}
