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

// kind is the type of a frame.
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

// frame is one message on a connection. ID is the id of the call or request
// that the frame belongs to.
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
	// Data is a part of a response body. Last is set on the last part.
	Data []byte `cbor:"12,keyasint,omitempty"`
	Last bool   `cbor:"13,keyasint,omitempty"`
	// Credit is the number of additional body bytes that the receiver of the frame
	// may send.
	Credit int64 `cbor:"14,keyasint,omitempty"`
	// Error is the reason why a call failed or a body was truncated.
	Error string `cbor:"15,keyasint,omitempty"`

	// size is the size of the encoded frame in bytes. It is set on received
	// frames.
	size int
}

// Limits of the CBOR decoder.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 12
	maxNesting       = 16
)

var (
	encoder    = mustEncoder()
	decoder    = mustDecoder()
	bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	framePool  = sync.Pool{New: func() any { return new(frame) }}
)

// maxPooledBuffer is the maximum size of a buffer that is kept for reuse, in
// bytes.
const maxPooledBuffer = 64 << 10

func mustEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
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

// encode returns the encoded frame in a buffer from the pool. The encoder gets
// a pooled copy, so that f does not have to be allocated on the heap.
func encode(f *frame) (*bytes.Buffer, error) {
	buffer := bufferPool.Get().(*bytes.Buffer)
	buffer.Reset()
	pooled := framePool.Get().(*frame)
	*pooled = *f
	err := encoder.MarshalToBuffer(pooled, buffer)
	*pooled = frame{}
	framePool.Put(pooled)
	if err != nil {
		recycle(buffer)
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	return buffer, nil
}

// recycle returns a buffer to the pool.
func recycle(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledBuffer {
		bufferPool.Put(buffer)
	}
}

// decode decodes a frame into f and checks that it has the content its kind
// requires. The error is a *BadFrameError.
func decode(data []byte, f *frame) error {
	*f = frame{size: len(data)}
	if err := decoder.Unmarshal(data, f); err != nil {
		return &BadFrameError{Detail: err.Error()}
	}
	return f.check()
}

// check returns an error if the kind of the frame is unknown or the content it
// requires is missing.
func (f *frame) check() error {
	if f.Kind == 0 || f.Kind >= kindEnd {
		return &BadFrameError{Detail: fmt.Sprintf("unknown kind %d", f.Kind)}
	}
	if !f.hasContent() {
		return &BadFrameError{Detail: fmt.Sprintf("kind %d lacks its content", f.Kind)}
	}
	return nil
}

// hasContent reports whether the frame has the content that its kind requires.
func (f *frame) hasContent() bool {
	switch f.Kind {
	case kindHello:
		return f.Hello != nil
	case kindCall:
		return f.Call != nil
	case kindReply:
		return f.Reply != nil || f.Error != ""
	case kindRequest:
		return f.Request != nil && f.Credit > 0
	case kindHead:
		return f.Head != nil && validHead(f.Head)
	case kindData:
		return len(f.Data) > 0 || f.Last || f.Error != ""
	case kindCredit:
		return f.Credit > 0
	}
	return true
}

// validHead reports whether a head has a status, or an error with a valid
// outcome.
func validHead(head *message.Head) bool {
	if head.Error == nil {
		return head.Status > 0
	}
	return head.Error.Outcome >= outcome.Done && head.Error.Outcome <= outcome.Unknown
}
