package wire_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/wire"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	endpointv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
)

// Each fuzz target guards against bytes from the table, a peer, a caller or an endpoint that make a
// decoder panic, return an untyped error, or return a value that changes when it is encoded and decoded
// again. go test runs the corpus in testdata/fuzz.

func fuzzRow[T any](f *testing.F, decode func([]byte) (T, error), encode func(T) []byte) {
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		value, err := decode(data)
		if err != nil {
			var wrong *wire.DecodeError
			is.True(errors.As(err, &wrong))
			return
		}
		written := encode(value)
		again, err := decode(written)
		is.NoErr(err)
		is.True(bytes.Equal(encode(again), written))
	})
}

func FuzzDecodeHead(f *testing.F)   { fuzzRow(f, wire.DecodeHead, wire.EncodeHead) }
func FuzzDecodeItem(f *testing.F)   { fuzzRow(f, wire.DecodeItem, wire.EncodeItem) }
func FuzzDecodeVM(f *testing.F)     { fuzzRow(f, wire.DecodeVM, wire.EncodeVM) }
func FuzzDecodeLedger(f *testing.F) { fuzzRow(f, wire.DecodeLedger, wire.EncodeLedger) }
func FuzzDecodeLease(f *testing.F)  { fuzzRow(f, wire.DecodeLease, wire.EncodeLease) }
func FuzzDecodeEntry(f *testing.F)  { fuzzRow(f, wire.DecodeEntry, wire.EncodeEntry) }
func FuzzDecodeAudit(f *testing.F)  { fuzzRow(f, wire.DecodeAudit, wire.EncodeAudit) }
func FuzzDecodeWave(f *testing.F)   { fuzzRow(f, wire.DecodeWave, wire.EncodeWave) }

// Guards against a whole configuration or a change that makes the conversion panic.
func FuzzFromConfiguration(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var whole configv1.Configuration
		if proto.Unmarshal(data, &whole) == nil && whole.Check() == nil && wire.CheckUnique(&whole) == nil {
			c := wire.FromConfiguration(&whole)
			is.New(t).Equal(len(c.Pools), len(whole.GetPools()))
		}
		var change configv1.Change
		if proto.Unmarshal(data, &change) == nil {
			_ = wire.FromChange(&change).Subject()
		}
	})
}

// checkedMessage is a message that checks its bounds.
type checkedMessage interface {
	proto.Message
	Check() error
}

// decodeChecked decodes a message from binary or JSON and reports whether it is valid.
func decodeChecked(data []byte, m checkedMessage) bool {
	if proto.Unmarshal(data, m) != nil && (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, m) != nil {
		return false
	}
	return m.Check() == nil
}

// Guards against a request of a caller that makes the conversion panic, or whose deadline has passed.
func FuzzFromCaller(f *testing.F) {
	now := time.Unix(1_700_000_000, 0)
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		var submit callerv1.SubmitRequest
		if decodeChecked(data, &submit) {
			r := wire.FromSubmitRequest(now, "newsroom", &submit, time.Second)
			is.Equal(string(r.ID), submit.GetRequestId())
			is.True(!r.Deadline.Before(now))
		}
		var cancel callerv1.CancelRequest
		if decodeChecked(data, &cancel) {
			is.Equal(len(wire.FromCancelRequest("newsroom", &cancel).IDs), len(cancel.GetRequestIds()))
		}
	})
}

// Guards against a message of an operator, or a configuration file, that makes the conversion panic.
func FuzzFromOperator(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		var apply operatorv1.ApplyConfigurationRequest
		if decodeChecked(data, &apply) && wire.CheckUnique(apply.GetReplace()) == nil {
			for _, c := range apply.GetChanges() {
				_ = wire.FromChange(c).Subject()
			}
			if whole := apply.GetReplace(); whole != nil {
				is.Equal(len(wire.FromConfiguration(whole).Services), len(whole.GetServices()))
			}
		}
		var file configv1.Configuration
		if protojson.Unmarshal(data, &file) == nil && file.Check() == nil && wire.CheckUnique(&file) == nil {
			is.Equal(len(wire.FromConfiguration(&file).Accounts), len(file.GetAccounts()))
		}
		var wave operatorv1.CreateWaveRequest
		if decodeChecked(data, &wave) {
			is.Equal(len(wire.FromWaveSpec(wave.GetSpec()).Pools), len(wave.GetSpec().GetPools()))
		}
		var audit operatorv1.ListAuditRequest
		if decodeChecked(data, &audit) {
			_ = wire.FromTime(audit.GetSince()).Before(wire.FromTime(audit.GetUntil()))
		}
	})
}

// Guards against an outcome that is taken for a complete answer although length or digest do not match.
func FuzzFromResponse(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var submitted callerv1.SubmitResponse
		if proto.Unmarshal(data, &submitted) == nil {
			o := wire.FromSubmitResponse(&submitted)
			a := submitted.GetAnswer()
			is.New(t).True(a == nil || len(o.Body) == 0 || uint64(len(o.Body)) == a.GetLength())
		}
		var ran endpointv1.RunResponse
		if proto.Unmarshal(data, &ran) == nil {
			r := wire.FromRunResponse("request-1", &ran)
			is.New(t).True(len(r.Body) == 0 || uint64(len(r.Body)) == ran.GetAnswer().GetLength())
		}
	})
}
