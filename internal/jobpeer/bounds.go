package jobpeer

import (
	"mime"
	"net/http"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/mimosawharf/mimosawharf/internal/door"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// MaxMessage bounds a request to an entry. The largest passes on a job, whose steps take less than in the body that
	// brought it.
	MaxMessage fleet.Bytes = 4 << 20
	// maxObjects and maxDepth bound a request in JSON. A job has 100 steps at most.
	maxObjects = 4096
	maxDepth   = 32
)

// NewScanner returns the scanner of a request's body. It refuses encodings that the entry's own clients do not use and
// whose decoded size is not known before they are decoded.
func NewScanner(r *http.Request) (door.Scanner, error) {
	encoding := r.Header.Get("Content-Encoding")
	kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type")) // An error leaves the type empty.
	switch {
	case encoding != "" && encoding != "identity":
	case kind == "application/json":
		return &door.JSONScanner{MaxObjects: maxObjects, MaxDepth: maxDepth}, nil
	case kind == "application/proto":
		return &door.ProtobufScanner{Type: inputOf(r.URL.Path)}, nil
	case kind == "application/grpc-web", kind == "application/grpc-web+proto":
		return &door.ProtobufScanner{Type: inputOf(r.URL.Path), IsFramed: true}, nil
	}
	return nil, &door.Refusal{Reason: door.ReasonEncoding}
}

// inputOf returns the type of the requests on a path, or nil for a path without a method.
func inputOf(path string) protoreflect.MessageDescriptor {
	service, method, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	s := jobv1.File_mimosawharf_job_v1_job_proto.Services().ByName(protoreflect.FullName(service).Name())
	if s == nil {
		return nil
	}
	if m := s.Methods().ByName(protoreflect.Name(method)); m != nil {
		return m.Input()
	}
	return nil
}
