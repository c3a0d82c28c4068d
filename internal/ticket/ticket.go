// Package ticket makes requests that must not be repeated run at most once. A ticket names the entry
// and the incarnation that issued it, and only that incarnation redeems it, so that no other process
// needs to know what became of it.
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

// InvalidError reports bytes that are not a ticket, or a ticket that was altered.
type InvalidError struct {
	Problem string
}

// Error implements error.
func (e *InvalidError) Error() string { return "invalid ticket: " + e.Problem }

const (
	formatVersion = 1
	// digestSize is the size of the keyed digest in bytes.
	digestSize = sha256.Size
)

// Encode returns the bytes of a ticket with a digest under the issuer's key.
func Encode(t Ticket, key []byte) []byte {
	b := []byte{formatVersion}
	b = appendText(b, string(t.Issuer))
	b = appendText(b, string(t.Incarnation))
	b = appendText(b, string(t.Account))
	b = binary.AppendUvarint(b, uint64(t.Sequence))
	b = binary.AppendVarint(b, t.Expires.UnixMilli())
	return append(b, digest(b, key)...)
}

// Decode returns a ticket without checking its digest, or *InvalidError.
func Decode(data []byte) (Ticket, error) {
	if len(data) < 1+digestSize || data[0] != formatVersion {
		return Ticket{}, trace.Wrap(&InvalidError{Problem: "unknown format"})
	}
	d := decoder{rest: data[1 : len(data)-digestSize]}
	t := Ticket{
		Issuer:      fleet.EntryID(d.text()),
		Incarnation: fleet.Incarnation(d.text()),
		Account:     fleet.ClientAccountID(d.text()),
		Sequence:    fleet.TicketSequence(d.unsigned()),
		Expires:     time.UnixMilli(d.signed()),
	}
	if d.failed || len(d.rest) > 0 {
		return Ticket{}, trace.Wrap(&InvalidError{Problem: "wrong length"})
	}
	return t, nil
}

// Verify reports whether the digest of an encoded ticket was made with the key.
func Verify(data, key []byte) bool {
	if len(data) < digestSize {
		return false
	}
	body, sum := data[:len(data)-digestSize], data[len(data)-digestSize:]
	return hmac.Equal(sum, digest(body, key))
}

func digest(body, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)
}

func appendText(b []byte, text string) []byte {
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

// decoder reads fields and remembers whether any of them was cut short.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) unsigned() uint64 {
	v, n := binary.Uvarint(d.rest)
	return v & d.advance(n)
}

func (d *decoder) signed() int64 {
	v, n := binary.Varint(d.rest)
	return v & int64(d.advance(n))
}

// advance skips n bytes. It returns a mask that clears the value when the field was cut short.
func (d *decoder) advance(n int) uint64 {
	if n <= 0 || d.failed {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return ^uint64(0)
}

func (d *decoder) text() string {
	n := d.unsigned()
	if d.failed || n > uint64(len(d.rest)) {
		d.failed = true
		return ""
	}
	text := string(d.rest[:n])
	d.rest = d.rest[n:]
	return text
}
