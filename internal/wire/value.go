package wire

import (
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// DecodeError reports bytes that are not the expected message.
type DecodeError struct {
	Message string
	Cause   error
}

// Error implements error.
func (e *DecodeError) Error() string { return "decode " + e.Message + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// decode parses a message and returns *DecodeError when the bytes do not hold it.
func decode(data []byte, m proto.Message) error {
	if err := proto.Unmarshal(data, m); err != nil {
		return trace.Wrap(&DecodeError{Message: string(m.ProtoReflect().Descriptor().FullName()), Cause: err})
	}
	return nil
}

// encode marshals a message. Messages made by this package always marshal: their strings come from
// decoded messages or settings and are valid UTF-8.
func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic("wire: marshal " + string(m.ProtoReflect().Descriptor().FullName()) + ": " + err.Error())
	}
	return data
}

// Time converts a time to its message; the zero time becomes nil.
func Time(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

// FromTime converts a time from its message; nil becomes the zero time.
func FromTime(t *timestamppb.Timestamp) time.Time {
	if t == nil {
		return time.Time{}
	}
	return t.AsTime()
}

// Duration converts a duration to its message; 0 becomes nil.
func Duration(d time.Duration) *durationpb.Duration {
	if d == 0 {
		return nil
	}
	return durationpb.New(d)
}

// FromDuration converts a duration from its message; nil becomes 0.
func FromDuration(d *durationpb.Duration) time.Duration {
	if d == nil {
		return 0
	}
	return d.AsDuration()
}

// Strings converts a slice of named strings.
func Strings[T ~string](list []T) []string {
	var out []string
	for _, v := range list {
		out = append(out, string(v))
	}
	return out
}

// FromStrings converts a slice of strings to a slice of a named type.
func FromStrings[T ~string](list []string) []T {
	var out []T
	for _, v := range list {
		out = append(out, T(v))
	}
	return out
}
