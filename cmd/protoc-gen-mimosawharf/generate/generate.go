// Package generate writes the code and the documentation page of protoc-gen-mimosawharf.
package generate

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/pluginpb"

	optionsv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/options/v1"
)

// All generates the code of all files of a request. It returns *SettingError for a setting whose
// options contradict each other.
func All(p *protogen.Plugin) error {
	p.SupportedFeatures = uint64(pluginpb.CodeGeneratorResponse_FEATURE_PROTO3_OPTIONAL)
	for _, f := range p.Files {
		if !f.Generate {
			continue
		}
		for _, m := range f.Messages {
			for _, field := range m.Fields {
				if err := checkSetting(field); err != nil {
					return trace.Wrap(err)
				}
			}
		}
		generateChecks(p, f)
		generateSettings(p, f)
	}
	return nil
}

// SettingError reports a setting whose options contradict each other.
type SettingError struct {
	Field   protoreflect.FullName
	Problem string
}

// Error implements error.
func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", e.Field, e.Problem) }

// checkSetting returns *SettingError when the options of a setting contradict each other. A default
// outside its bounds would keep every daemon from starting.
func checkSetting(f *protogen.Field) error {
	s := settingOf(f)
	if s == nil {
		return nil
	}
	problem := ""
	switch isNumber := f.Desc.Kind() != protoreflect.StringKind && f.Desc.Kind() != protoreflect.BoolKind; {
	case s.GetHelp() == "":
		problem = "has no help"
	case s.GetRequired() && s.GetDefault() != "":
		problem = "is required and has a default"
	case len(s.GetValues()) > 0 && !slices.Contains(s.GetValues(), s.GetDefault()):
		problem = "default " + s.GetDefault() + " is not one of its values"
	case isNumber && s.GetUnit() == "":
		problem = "is a number without a unit"
	case isNumber:
		problem = checkBounds(f, s)
	}
	if problem == "" {
		return nil
	}
	return &SettingError{Field: f.Desc.FullName(), Problem: problem}
}

func checkBounds(f *protogen.Field, s *optionsv1.Setting) string {
	var values []int64
	for _, text := range []string{s.GetMin(), s.GetDefault(), s.GetMax()} {
		n, err := strconv.ParseInt(text, 10, 64)
		if f.Message != nil {
			var d time.Duration
			d, err = time.ParseDuration(text)
			n = int64(d)
		}
		if err != nil {
			return strconv.Quote(text) + " is no value; minimum, default and maximum are needed"
		}
		values = append(values, n)
	}
	if !slices.IsSorted(values) {
		return fmt.Sprintf("default %s is not from %s to %s", s.GetDefault(), s.GetMin(), s.GetMax())
	}
	return ""
}
