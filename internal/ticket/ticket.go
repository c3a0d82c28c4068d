// Package ticket ensures that requests that must not be repeated run at most once. A ticket names the entry
// and the incarnation that issued it. Only that incarnation redeems it, unless it hands its tickets over, so
// no other process needs to know the outcome.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Ticket identifies one request that must not be repeated.
type Ticket struct {
	Issuer      fleet.EntryID
	Incarnation fleet.Incarnation
	Sequence    fleet.TicketSequence
	Account     fleet.ClientAccountID
	Expires     time.Time
}

// InvalidError reports bytes that do not decode as a ticket.
type InvalidError struct {
	Problem string
}

// Error implements error.
func (e *InvalidError) Error() string { return "invalid ticket: " + e.Problem }

const (
	formatVersion = 1
	// macSize is the size of the HMAC in bytes.
	macSize = sha256.Size
)

// Encode returns the encoded ticket followed by its HMAC under the issuer's key.
func Encode(t Ticket, key []byte) []byte {
	b := []byte{formatVersion}
	b = appendString(b, string(t.Issuer))
	b = appendString(b, string(t.Incarnation))
	b = appendString(b, string(t.Account))
	b = binary.AppendUvarint(b, uint64(t.Sequence))
	b = binary.AppendVarint(b, t.Expires.UnixMilli())
	return append(b, computeMAC(b, key)...)
}

// Decode decodes a ticket without verifying its HMAC. It returns *InvalidError.
func Decode(data []byte) (Ticket, error) {
	if len(data) < 1+macSize || data[0] != formatVersion {
		return Ticket{}, trace.Wrap(&InvalidError{Problem: "unknown format"})
	}
	d := decoder{rest: data[1 : len(data)-macSize]}
	t := Ticket{
		Issuer:      fleet.EntryID(d.str()),
		Incarnation: fleet.Incarnation(d.str()),
		Account:     fleet.ClientAccountID(d.str()),
		Sequence:    fleet.TicketSequence(d.uvarint()),
		Expires:     time.UnixMilli(d.varint()),
	}
	if d.failed || len(d.rest) > 0 {
		return Ticket{}, trace.Wrap(&InvalidError{Problem: "wrong length"})
	}
	return t, nil
}

// Verify reports whether the HMAC of an encoded ticket was made with the key.
func Verify(data, key []byte) bool {
	if len(data) < macSize {
		return false
	}
	body, sum := data[:len(data)-macSize], data[len(data)-macSize:]
	return hmac.Equal(sum, computeMAC(body, key))
}

func computeMAC(body, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)
}

func appendString(b []byte, text string) []byte {
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

// decoder reads fields and records whether any of them was truncated or malformed.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	return v & d.advance(n)
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.rest)
	return v & int64(d.advance(n))
}

// advance skips n bytes. It returns a mask that clears the value when the field was truncated or malformed.
func (d *decoder) advance(n int) uint64 {
	if n <= 0 || d.failed {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return ^uint64(0)
}

func (d *decoder) str() string {
	n := d.uvarint()
	if d.failed || n > uint64(len(d.rest)) {
		d.failed = true
		return ""
	}
	text := string(d.rest[:n])
	d.rest = d.rest[n:]
	return text
}
