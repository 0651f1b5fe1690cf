package peer

import (
	"bytes"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
)

// kind says what a frame is.
type kind uint8

const (
	kindHello kind = iota + 1
	kindWelcome
	kindPing
	kindPong
	kindCall
	kindReply
	kindRequest
	kindHead
	kindData
	kindCredit
	kindCancel
	kindGoAway
	kindEnd // one past the last kind
)

// frame is one message on a connection. ID is that of the call or request.
type frame struct {
	Kind    kind               `cbor:"1,keyasint"`
	ID      uint64             `cbor:"2,keyasint,omitempty"`
	Hello   *message.Hello     `cbor:"3,keyasint,omitempty"`
	Want    record.Incarnation `cbor:"4,keyasint,omitzero"`
	Plane   Plane              `cbor:"5,keyasint,omitempty"`
	Nonce   []byte             `cbor:"6,keyasint,omitempty"`
	Proof   []byte             `cbor:"7,keyasint,omitempty"`
	Call    *message.Call      `cbor:"8,keyasint,omitempty"`
	Reply   *message.Reply     `cbor:"9,keyasint,omitempty"`
	Request *message.Request   `cbor:"10,keyasint,omitempty"`
	Head    *message.Head      `cbor:"11,keyasint,omitempty"`
	// Data is a part of the body; Last marks the whole body's end.
	Data []byte `cbor:"12,keyasint,omitempty"`
	Last bool   `cbor:"13,keyasint,omitempty"`
	// Credit is how many more bytes of body the sender may be sent.
	Credit int64 `cbor:"14,keyasint,omitempty"`
	// Fault says why a call failed or a body is cut.
	Fault string `cbor:"15,keyasint,omitempty"`

	// size is that of the encoded frame, in bytes, on the receiving side.
	size int
}

// Limits of what a frame may hold.
const (
	maxElements = 1 << 16
	maxPairs    = 1 << 12
	maxNesting  = 16
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
	buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	frames  = sync.Pool{New: func() any { return new(frame) }}
)

// maxPooled is the largest buffer that is kept for reuse, in bytes.
const maxPooled = 64 << 10

func mustEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxPairs,
		MaxNestedLevels:  maxNesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode returns the frame's bytes in a buffer from the pool. The encoder is
// given a pooled copy, so that f need not live on the heap.
func encode(f *frame) (*bytes.Buffer, error) {
	buffer := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	pooled := frames.Get().(*frame)
	*pooled = *f
	err := encoder.MarshalToBuffer(pooled, buffer)
	*pooled = frame{}
	frames.Put(pooled)
	if err != nil {
		recycle(buffer)
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	return buffer, nil
}

// recycle gives a buffer back to the pool.
func recycle(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooled {
		buffers.Put(buffer)
	}
}

// decode reads a frame into f and checks that its kind has what it needs.
func decode(data []byte, f *frame) error {
	*f = frame{size: len(data)}
	if err := decoder.Unmarshal(data, f); err != nil {
		return &BadFrame{Detail: err.Error()}
	}
	return f.check()
}

// check returns an error when the frame's kind is unknown or lacks a part.
func (f *frame) check() error {
	if f.Kind == 0 || f.Kind >= kindEnd {
		return &BadFrame{Detail: fmt.Sprintf("unknown kind %d", f.Kind)}
	}
	if !f.complete() {
		return &BadFrame{Detail: fmt.Sprintf("kind %d lacks its content", f.Kind)}
	}
	return nil
}

// complete reports whether the frame has the parts that its kind needs.
func (f *frame) complete() bool {
	switch f.Kind {
	case kindHello:
		return f.Hello != nil
	case kindCall:
		return f.Call != nil
	case kindReply:
		return f.Reply != nil || f.Fault != ""
	case kindRequest:
		return f.Request != nil && f.Credit > 0
	case kindHead:
		return f.Head != nil && validHead(f.Head)
	case kindData:
		return len(f.Data) > 0 || f.Last || f.Fault != ""
	case kindCredit:
		return f.Credit > 0
	}
	return true
}

// validHead reports whether a head is an error with an outcome, or has a status.
func validHead(head *message.Head) bool {
	if head.Error == nil {
		return head.Status > 0
	}
	return head.Error.Outcome >= outcome.Done && head.Error.Outcome <= outcome.Unknown
}
