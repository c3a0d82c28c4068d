package door

import (
	"google.golang.org/protobuf/encoding/protowire"

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
	// recordCost is what a record of a protobuf message takes: a message of some 200 bytes and what it is converted to.
	recordCost fleet.Bytes = 512
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
	return fleet.Bytes(countRecords(message, maxRecordDepth))*recordCost + fleet.Bytes(len(body))
}

// countRecords counts the records of a message and of what may be messages in it. It counts up to the first byte that
// is no record, as decoding fails there.
func countRecords(data []byte, depth int) int {
	n := 0
	for len(data) > 0 {
		_, kind, length := protowire.ConsumeTag(data)
		if length < 0 {
			return n
		}
		data = data[length:]
		length = protowire.ConsumeFieldValue(1, kind, data)
		if length < 0 {
			return n
		}
		n++
		if value, m := protowire.ConsumeBytes(data); kind == protowire.BytesType && m > 0 && depth > 1 {
			n += countRecords(value, depth-1)
		}
		data = data[length:]
	}
	return n
}
