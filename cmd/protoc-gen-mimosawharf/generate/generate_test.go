package generate_test

import (
	"errors"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"

	"github.com/mimosawharf/mimosawharf/cmd/protoc-gen-mimosawharf/generate"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	optionsv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/options/v1"
	peerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
	settingsv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/settings/v1"
)

// request returns a request for the code of files and of all files that they import.
func request(files ...protoreflect.FileDescriptor) *pluginpb.CodeGeneratorRequest {
	r := &pluginpb.CodeGeneratorRequest{Parameter: proto.String("paths=source_relative")}
	seen := map[string]bool{}
	var add func(f protoreflect.FileDescriptor)
	add = func(f protoreflect.FileDescriptor) {
		if seen[f.Path()] {
			return
		}
		seen[f.Path()] = true
		for i := range f.Imports().Len() {
			add(f.Imports().Get(i).FileDescriptor)
		}
		r.ProtoFile = append(r.ProtoFile, protodesc.ToFileDescriptorProto(f))
		if strings.HasPrefix(f.Path(), "mimosawharf/") {
			r.FileToGenerate = append(r.FileToGenerate, f.Path())
		}
	}
	for _, f := range files {
		add(f)
	}
	return r
}

func run(t *testing.T, r *pluginpb.CodeGeneratorRequest) (*pluginpb.CodeGeneratorResponse, error) {
	p, err := protogen.Options{}.New(r)
	is.New(t).NoErr(err)
	if err := generate.All(p); err != nil {
		return nil, err
	}
	return p.Response(), nil
}

// Guards against committed code that differs from what the generator writes for the schema.
func TestGeneratedCodeIsUpToDate(t *testing.T) {
	response, err := run(t, request(callerv1.File_mimosawharf_caller_v1_caller_proto, operatorv1.File_mimosawharf_operator_v1_operator_proto,
		peerv1.File_mimosawharf_peer_v1_peer_proto, settingsv1.File_mimosawharf_settings_v1_settings_proto))
	is.New(t).NoErr(err)
	is.New(t).True(len(response.GetFile()) >= 7)
	for _, f := range response.GetFile() {
		t.Run(f.GetName(), func(t *testing.T) {
			is := is.New(t)
			committed, err := os.ReadFile("../../../" + f.GetName())
			is.NoErr(err)
			is.True(normalize(string(committed)) == normalize(f.GetContent())) // run ./generate.sh
		})
	}
}

// normalize removes white space and sorts the imports, which gofumpt changes.
func normalize(code string) string {
	before, rest, found := strings.Cut(code, "import (")
	imports, after, _ := strings.Cut(rest, ")")
	if found {
		lines := strings.Fields(imports)
		slices.Sort(lines)
		code = before + strings.Join(lines, "") + after
	}
	return strings.Join(strings.Fields(code), "")
}

// schema returns a request for a message with one field.
func schema(kind descriptorpb.FieldDescriptorProto_Type, option protoreflect.ExtensionType, value proto.Message) *pluginpb.CodeGeneratorRequest {
	options := &descriptorpb.FieldOptions{}
	proto.SetExtension(options, option, value)
	r := request(optionsv1.File_mimosawharf_options_v1_options_proto)
	r.FileToGenerate = []string{"mimosawharf/test.proto"}
	r.ProtoFile = append(r.ProtoFile, &descriptorpb.FileDescriptorProto{
		Name: proto.String("mimosawharf/test.proto"), Package: proto.String("mimosawharf.test"), Syntax: proto.String("proto3"),
		Dependency: []string{"mimosawharf/options/v1/options.proto"}, Options: &descriptorpb.FileOptions{GoPackage: proto.String("example/test")},
		MessageType: []*descriptorpb.DescriptorProto{{Name: proto.String("M"), Field: []*descriptorpb.FieldDescriptorProto{{
			Name: proto.String("some_field"), Number: proto.Int32(1), Type: kind.Enum(), Label: descriptorpb.FieldDescriptorProto_LABEL_OPTIONAL.Enum(), Options: options,
		}}}},
	})
	return r
}

// Guards against a check option that generates nothing, or an upper bound that unsigned numbers pass by
// wrapping to negative ones.
func TestEachCheckOptionGeneratesItsGuard(t *testing.T) {
	cases := []struct {
		kind  descriptorpb.FieldDescriptorProto_Type
		check *optionsv1.Check
		want  string
	}{
		{descriptorpb.FieldDescriptorProto_TYPE_STRING, &optionsv1.Check{MinLen: 2, MaxLen: 9}, `check.Length("some-field", len(x.GetSomeField()), 2, 9)`},
		{descriptorpb.FieldDescriptorProto_TYPE_STRING, &optionsv1.Check{Identifier: true}, `check.Identifier("some-field", x.GetSomeField())`},
		{descriptorpb.FieldDescriptorProto_TYPE_STRING, &optionsv1.Check{Values: []string{"a", "b"}}, `check.OneOf("some-field", x.GetSomeField(), "a", "b")`},
		{descriptorpb.FieldDescriptorProto_TYPE_INT32, &optionsv1.Check{Min: proto.Int64(-3)}, `check.AtLeast("some-field", int64(x.GetSomeField()), -3)`},
		{descriptorpb.FieldDescriptorProto_TYPE_UINT64, &optionsv1.Check{Max: proto.Int64(7)}, `check.AtMost("some-field", int64(min(x.GetSomeField(), 1<<63-1)), 7)`},
	}
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			response, err := run(t, schema(c.kind, optionsv1.E_Check, c.check))
			is.NoErr(err)
			is.True(strings.Contains(response.GetFile()[0].GetContent(), c.want))
		})
	}
}

// Guards against a setting whose default keeps every daemon from starting, or that has no help or unit.
func TestContradictorySettingsAreRefused(t *testing.T) {
	number, text := descriptorpb.FieldDescriptorProto_TYPE_UINT32, descriptorpb.FieldDescriptorProto_TYPE_STRING
	cases := []struct {
		kind    descriptorpb.FieldDescriptorProto_Type
		setting *optionsv1.Setting
		want    string
	}{
		{text, &optionsv1.Setting{}, "has no help"},
		{text, &optionsv1.Setting{Help: "Some.", Required: true, Default: "x"}, "is required and has a default"},
		{text, &optionsv1.Setting{Help: "Some.", Values: []string{"a"}, Default: "b"}, "is not one of its values"},
		{number, &optionsv1.Setting{Help: "Some.", Default: "1", Min: "1", Max: "2"}, "without a unit"},
		{number, &optionsv1.Setting{Help: "Some.", Unit: "slots", Default: "3", Min: "1", Max: "2"}, "is not from 1 to 2"},
		{number, &optionsv1.Setting{Help: "Some.", Unit: "slots", Default: "3", Min: "1"}, "maximum are needed"},
	}
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			_, err := run(t, schema(c.kind, optionsv1.E_Setting, c.setting))
			var wrong *generate.SettingError
			is.True(errors.As(err, &wrong))
			is.True(strings.Contains(wrong.Error(), c.want))
		})
	}
}
