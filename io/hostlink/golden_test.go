package hostlink

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pineturn/core/owner"
	"pineturn/core/peers"
	"pineturn/core/placement"
	"pineturn/core/poison"
	"pineturn/core/ratelimit"
	"pineturn/io/metastore"
	"pineturn/platform"
)

// landedBuild is the messages that hosts of a landed build send. Their bytes, as that build
// encoded them, are in testdata/golden.
type landedBuild struct {
	commit string
	hello  hello
	feed   feedMessage
	report reportMessage
}

func landedBuilds() []landedBuild {
	first := landedBuild{
		commit: "d3a9518",
		hello:  hello{Incarnation: "p1", Age: 5 * time.Second},
		feed:   feedMessage{Feed: Feed{Watermarks: []metastore.Watermark{{Topic: "topic", Next: 3}}, Hosts: 9}},
		report: reportMessage{Report: owner.Report{
			Counts:     []owner.KeyCount{{Service: "records", Key: 5, Count: 2}},
			Processing: []owner.ProcessingStats{{Service: "records", Target: "t1", Responses: 4, Seconds: 0.5}},
		}},
	}
	second := first
	second.commit = "c5d5b19"
	second.hello.Epoch, second.hello.Leading = 7, true
	second.feed.Echo, second.feed.EchoAge = 5*time.Second, 40*time.Millisecond
	second.report.SentAt = 3 * time.Second
	third := second
	third.commit = "1f85087"
	third.feed.Peers = []peers.Host{{Address: "10.0.0.2:7200", Domain: "b", Incarnation: "p2", Detached: []string{"records"}}}
	third.report.Self = &peers.Host{Address: "10.0.0.3:7200", Domain: "a", Incarnation: "p3"}
	fourth := third
	fourth.commit = "6ba3830"
	limit := ratelimit.Limit{Named: true, PerSecond: 2.8}
	fourth.feed.Limits = []ratelimit.Share{{Target: "t1", Limit: limit, Age: time.Second, Dealt: true, PerSecond: 0.7, Burst: 1}}
	fourth.report.Limits = []ratelimit.Observation{{Target: "t1", Limit: limit, Age: time.Second, Demand: 3, Held: 0.7}}
	fifth := fourth
	fifth.commit = "5e61baf"
	fifth.feed.LimitsContinue = true
	fifth.feed.Departures = []placement.Departure{{Target: "t2", Born: 9}}
	fifth.feed.Updates = []metastore.Update{{Topic: "topic", From: 2, Next: 3, Era: 1, Packed: []byte("packed"), Base: 1}}
	fifth.report.FollowsLimits, fifth.report.Unpacks = true, true
	fifth.report.Departures = []placement.Departure{{Target: "t2", Born: 9}}
	return []landedBuild{first, second, third, fourth, fifth}
}

// assertGolden checks that the bytes of a landed build are decoded as want.
func assertGolden(t *testing.T, path string, into, want any) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(data, into); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(into, want) {
		t.Errorf("%s: got %+v, want %+v", path, into, want)
	}
}

// TestMessagesOfLandedBuilds guards against a field whose key or meaning changes, so that
// hosts of another build misread it.
func TestMessagesOfLandedBuilds(t *testing.T) {
	for _, b := range landedBuilds() {
		t.Run(b.commit, func(t *testing.T) {
			folder := filepath.Join("testdata", "golden", b.commit)
			assertGolden(t, filepath.Join(folder, "hello.cbor"), &hello{}, &b.hello)
			assertGolden(t, filepath.Join(folder, "feed.cbor"), &feedMessage{}, &b.feed)
			assertGolden(t, filepath.Join(folder, "report.cbor"), &reportMessage{}, &b.report)
		})
	}
}

// FuzzMessages guards against bytes of another host that crash this one, or that change when
// they are passed on.
func FuzzMessages(f *testing.F) {
	paths, err := filepath.Glob(filepath.Join("testdata", "golden", "*", "*.cbor"))
	if err != nil || len(paths) == 0 {
		f.Fatalf("golden messages: got %d, error %v, want some", len(paths), err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var message feedMessage
		if cbor.Unmarshal(data, &message) == nil {
			assertEncodes(t, message)
		}
		var report reportMessage
		if cbor.Unmarshal(data, &report) == nil {
			assertEncodes(t, report)
		}
		var h hello
		if cbor.Unmarshal(data, &h) == nil {
			assertEncodes(t, h)
		}
	})
}

// assertEncodes checks that a message that was decoded can be encoded.
func assertEncodes(t *testing.T, message any) {
	t.Helper()
	if _, err := cbor.Marshal(message); err != nil {
		t.Errorf("encode %+v: got error %v, want none", message, err)
	}
}

// TestMessagesForLandedBuilds guards against new fields that hosts of an older build can't skip.
func TestMessagesForLandedBuilds(t *testing.T) {
	type oldHello struct {
		Incarnation string `cbor:"1,keyasint"`
		Epoch       int64  `cbor:"3,keyasint,omitempty"`
	}
	type oldUpdate struct {
		Topic string `cbor:"1,keyasint"`
		Next  int64  `cbor:"3,keyasint"`
	}
	type oldReport struct {
		SentAt time.Duration `cbor:"3,keyasint,omitempty"`
	}
	for _, x := range []struct {
		name            string
		sent, got, want any
	}{
		{
			name: "hello with owners", sent: hello{Incarnation: "p1", Epoch: 7, Owners: &platform.Record{Key: platform.KeyOwners, Value: []byte("owners")}},
			got: &oldHello{}, want: &oldHello{Incarnation: "p1", Epoch: 7},
		},
		{
			name: "complete update", sent: metastore.Update{Topic: "topic", Next: 3, Complete: true}, got: &oldUpdate{}, want: &oldUpdate{Topic: "topic", Next: 3},
		},
		{
			name: "report of what is lacking, and of requests that end targets",
			sent: reportMessage{SentAt: time.Second, Lacks: []string{"topic"}, Poison: []poison.Event{{Request: "r1", Target: poison.Target{ID: "t1"}}}},
			got:  &oldReport{}, want: &oldReport{SentAt: time.Second},
		},
	} {
		t.Run(x.name, func(t *testing.T) { assertReceived(t, x.sent, x.got, x.want) })
	}
}
