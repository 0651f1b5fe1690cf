package hostlink

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"pineturn/io/metastore"
	"pineturn/platform"
)

// Messages of builds without eras.
type (
	earlierRecord struct {
		Key    string
		Value  []byte
		Offset int64
	}
	earlierUpdate struct {
		Topic   string          `cbor:"1,keyasint"`
		From    int64           `cbor:"2,keyasint"`
		Next    int64           `cbor:"3,keyasint"`
		Records []earlierRecord `cbor:"4,keyasint"`
	}
	earlierWatermark struct {
		Topic string `cbor:"1,keyasint"`
		Next  int64  `cbor:"2,keyasint"`
	}
	earlierEraFeed struct {
		Updates    []earlierUpdate    `cbor:"1,keyasint,omitempty"`
		Watermarks []earlierWatermark `cbor:"2,keyasint,omitempty"`
	}
)

// TestErasInMessages guards against offsets that reach other hosts without their era, and
// against builds without eras that can't read or be read by this one.
func TestErasInMessages(t *testing.T) {
	feed := func(era int64) feedMessage {
		return feedMessage{Feed: Feed{
			Updates:    []metastore.Update{{Topic: "topic", From: 3, Next: 4, Era: era, Records: []platform.Record{{Key: "k", Value: []byte("v"), Offset: 3, Era: era}}}},
			Watermarks: []metastore.Watermark{{Topic: "topic", Next: 4, Era: era}},
		}}
	}
	report := reportMessage{Owners: &platform.Record{Key: "k", Value: []byte("v"), Offset: 3, Era: 9}}
	earlier := earlierEraFeed{
		Updates:    []earlierUpdate{{Topic: "topic", From: 3, Next: 4, Records: []earlierRecord{{Key: "k", Value: []byte("v"), Offset: 3}}}},
		Watermarks: []earlierWatermark{{Topic: "topic", Next: 4}},
	}
	withEra, withoutEra := feed(9), feed(0)
	for _, c := range []struct {
		name string
		sent any
		// into is a pointer to the message of the receiver, want what it then holds.
		into, want any
	}{
		{"feed", withEra, &feedMessage{}, &withEra},
		{"record of owners", report, &reportMessage{}, &report},
		{"feed to an earlier build", withEra, &earlierEraFeed{}, &earlier},
		{"feed of an earlier build", earlier, &feedMessage{}, &withoutEra},
	} {
		t.Run(c.name, func(t *testing.T) { assertReceived(t, c.sent, c.into, c.want) })
	}
}

// assertReceived checks what a receiver holds after it has read a message into the value to which
// into points.
func assertReceived(t *testing.T, sent, into, want any) {
	t.Helper()
	data, err := cbor.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(data, into); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(into, want) {
		t.Errorf("message received: got %+v, want %+v", into, want)
	}
}
