package door

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Scanner counts what a body takes once it is decoded, before it is.
type Scanner interface {
	// Scan takes the next bytes of the body. It returns *Refusal for a body that has more than any request.
	Scan(p []byte) error
	// Cost returns what the complete body takes in memory once it is decoded.
	Cost(body []byte) fleet.Bytes
}

const (
	// objectCost is what an object takes in memory, in its message and in the type that it is converted to. Both are
	// some 200 bytes and stand in slices that have grown by doubling.
	objectCost fleet.Bytes = 1 << 10
	// valueCost is what another value takes, which is a number in two slices at most.
	valueCost fleet.Bytes = 32
	// messageCost is what a message within a protobuf message takes: some 200 bytes and what it is converted to.
	messageCost fleet.Bytes = 512
	// textCost is what a string takes beside its bytes, which is a header in two slices at most and an allocation.
	textCost fleet.Bytes = 128
	// maxRecordDepth is how deep messages are nested in any request.
	maxRecordDepth = 4
)

// JSONScanner counts the objects and values of a JSON text as it arrives. It accepts what is no JSON.
type JSONScanner struct {
	// MaxObjects and MaxDepth bound the text.
	MaxObjects, MaxDepth int

	objects, values, depth int
	isString, isEscaped    bool
}

// Scan implements Scanner.
func (s *JSONScanner) Scan(p []byte) error {
	for _, c := range p {
		switch {
		case s.isEscaped:
			s.isEscaped = false
		case s.isString:
			s.isString, s.isEscaped = c != '"', c == '\\'
		case c == '"':
			s.isString = true
		case c == ',':
			s.values++
		case c == '{', c == '[':
			s.depth++
			if c == '{' {
				s.objects++
			}
		case c == '}', c == ']':
			s.depth--
		}
		if s.objects > s.MaxObjects || s.depth > s.MaxDepth {
			return &Refusal{Reason: ReasonTooManyFields}
		}
	}
	return nil
}

// Cost implements Scanner. Strings are copied.
func (s *JSONScanner) Cost(body []byte) fleet.Bytes {
	return fleet.Bytes(s.objects)*objectCost + fleet.Bytes(s.values)*valueCost + fleet.Bytes(len(body))
}

// ProtobufScanner counts the records of a protobuf message once it is complete.
type ProtobufScanner struct {
	// Type is the type of the message. Without it, the whole message is of unknown fields, which are not decoded.
	Type protoreflect.MessageDescriptor
	// IsFramed is set for gRPC-Web, which puts frameBytes before the message.
	IsFramed bool

	hasBegun bool
}

const (
	// frameBytes is the length of the flags and the length before a message of gRPC-Web.
	frameBytes = 5
	// frameCompressed is the flag of a compressed message, whose decoded size is not known.
	frameCompressed = 1
)

// Scan implements Scanner.
func (s *ProtobufScanner) Scan(p []byte) error {
	if s.IsFramed && !s.hasBegun && len(p) > 0 && p[0]&frameCompressed != 0 {
		return &Refusal{Reason: ReasonEncoding}
	}
	s.hasBegun = s.hasBegun || len(p) > 0
	return nil
}

// Cost implements Scanner.
func (s *ProtobufScanner) Cost(body []byte) fleet.Bytes {
	message := body
	if s.IsFramed {
		message = body[min(frameBytes, len(body)):]
	}
	return recordsCost(message, s.Type, maxRecordDepth) + fleet.Bytes(len(body))
}

// recordsCost returns what the records of a message take. It counts up to the first byte that is no record, as decoding
// fails there.
func recordsCost(data []byte, of protoreflect.MessageDescriptor, depth int) fleet.Bytes {
	var sum fleet.Bytes
	for len(data) > 0 {
		number, kind, length := protowire.ConsumeTag(data)
		if length < 0 {
			return sum
		}
		data = data[length:]
		length = protowire.ConsumeFieldValue(number, kind, data)
		if length < 0 {
			return sum
		}
		sum += valueCost
		if value, n := protowire.ConsumeBytes(data); kind == protowire.BytesType && n > 0 && of != nil {
			sum += fieldCost(value, of.Fields().ByNumber(number), depth)
		}
		data = data[length:]
	}
	return sum
}

// fieldCost returns what a field with a length takes. Text is not counted as records, although most of it could be
// some. An unknown field is kept as it is.
func fieldCost(value []byte, f protoreflect.FieldDescriptor, depth int) fleet.Bytes {
	switch {
	case f == nil:
		return 0
	case f.Message() != nil && depth > 1:
		return messageCost + recordsCost(value, f.Message(), depth-1)
	case f.Message() != nil:
		return messageCost
	case f.IsPacked():
		return fleet.Bytes(len(value)) * valueCost
	}
	return textCost
}
