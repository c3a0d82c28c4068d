package check_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"pgregory.net/rapid"

	_ "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	_ "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	optionsv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/options/v1"
	_ "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
	"github.com/mimosawharf/mimosawharf/pkg/check"
)

// checked is a message with a generated Check method.
type checked interface {
	proto.Message
	Check() error
}

// messages returns one message of each type that has a Check method.
func messages() []checked {
	var list []checked
	protoregistry.GlobalTypes.RangeMessages(func(m protoreflect.MessageType) bool {
		if c, ok := m.New().Interface().(checked); ok {
			list = append(list, c)
		}
		return true
	})
	return list
}

func optionsOf(f protoreflect.FieldDescriptor) *optionsv1.Check {
	c, _ := proto.GetExtension(f.Options(), optionsv1.E_Check).(*optionsv1.Check)
	return c
}

// fill sets the fields of a message so that Check accepts them.
func fill(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		c := optionsOf(f)
		switch {
		case c == nil || f.IsList():
		case f.Message() != nil:
			if c.GetRequired() {
				fill(m.Mutable(f).Message())
			}
		case len(c.GetValues()) > 0:
			m.Set(f, protoreflect.ValueOfString(c.GetValues()[0]))
		case f.Kind() == protoreflect.StringKind && c.GetMinLen() > 0:
			m.Set(f, protoreflect.ValueOfString(strings.Repeat("a", int(c.GetMinLen()))))
		case c.GetMin() > 0:
			m.Set(f, number(f, c.GetMin()))
		}
	}
}

// number returns a value of a numeric field.
func number(f protoreflect.FieldDescriptor, n int64) protoreflect.Value {
	switch f.Kind() {
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(n))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	default:
		return protoreflect.ValueOfInt64(n)
	}
}

// wrongValues returns values of a field that Check must refuse.
func wrongValues(m protoreflect.Message, f protoreflect.FieldDescriptor, c *optionsv1.Check) []protoreflect.Value {
	var list []protoreflect.Value
	texts := func(values ...string) {
		for _, v := range values {
			if f.Kind() == protoreflect.BytesKind {
				list = append(list, protoreflect.ValueOfBytes([]byte(v)))
			} else {
				list = append(list, protoreflect.ValueOfString(v))
			}
		}
	}
	if c.GetMaxLen() > 0 {
		texts(strings.Repeat("a", int(c.GetMaxLen())+1))
	}
	if c.GetMinLen() > 0 {
		texts("")
	}
	if c.GetIdentifier() {
		texts("A", "a b", "a/b", "\x00", "ä", "a\n")
	}
	if len(c.GetValues()) > 0 {
		texts("", "loud")
	}
	if c.Max != nil {
		list = append(list, number(f, c.GetMax()+1), number(f, 1<<31-1))
	}
	if c.GetMin() > 0 {
		list = append(list, number(f, c.GetMin()-1))
	}
	if !f.IsList() {
		return list
	}
	var lists []protoreflect.Value
	for _, v := range list {
		l := m.NewField(f).List()
		l.Append(v)
		lists = append(lists, protoreflect.ValueOfList(l))
	}
	if c.GetMaxItems() > 0 {
		l := m.NewField(f).List()
		for range c.GetMaxItems() + 1 {
			l.Append(l.NewElement())
		}
		lists = append(lists, protoreflect.ValueOfList(l))
	}
	return lists
}

// Guards against a Check method that accepts a message out of bounds, panics, or refuses it without naming
// the field.
func TestCheckRefusesEachFieldOutOfBounds(t *testing.T) {
	cases := 0
	for _, m := range messages() {
		fill(m.ProtoReflect())
		is.New(t).NoErr(m.Check()) // the message itself is valid
		fields := m.ProtoReflect().Descriptor().Fields()
		for i := range fields.Len() {
			f := fields.Get(i)
			c := optionsOf(f)
			if c == nil {
				continue
			}
			for n, value := range wrongValues(m.ProtoReflect(), f, c) {
				cases++
				t.Run(fmt.Sprint(f.FullName(), " ", n), func(t *testing.T) {
					is := is.New(t)
					bad := proto.Clone(m).(checked)
					bad.ProtoReflect().Set(f, value)
					var wrong *check.FieldError
					is.True(errors.As(bad.Check(), &wrong))
					is.True(strings.HasPrefix(wrong.Field, strings.ReplaceAll(string(f.Name()), "_", "-")))
				})
			}
			if c.GetRequired() {
				bad := proto.Clone(m).(checked)
				bad.ProtoReflect().Clear(f)
				is.New(t).True(bad.Check() != nil) // a required message is absent
			}
		}
	}
	is.New(t).True(cases > 150) // the fields of the schema were found
}

// Guards against untrusted bytes that make a Check method panic or return an untyped error.
func TestCheckOfMalformedMessages(t *testing.T) {
	all := messages()
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		m := proto.Clone(rapid.SampledFrom(all).Draw(t, "message")).(checked)
		if proto.Unmarshal(data, m) != nil {
			return
		}
		if err := m.Check(); err != nil {
			var wrong *check.FieldError
			is.True(errors.As(err, &wrong))
		}
	})
	for _, m := range all {
		_ = m.ProtoReflect().Type().Zero().Interface().(checked).Check() // a nil message does not panic
	}
}
