// Package rowstore declares what the platform's table service offers: versioned rows, conditional
// transactions, and a feed of changes. Implementations convert to the service's protocol.
package rowstore

import (
	"fmt"
	"net/http"
)

// Table names a table.
type Table string

// Part names a part of a table. Transactions on one part are applied one after another.
type Part string

// Key names a row within its table and part.
type Key string

// Version counts the transactions of the store, across all tables.
type Version uint64

// MaxValue is the longest value of a row in bytes that the platform's store keeps.
const MaxValue = 64 << 10

// Row is one row. A deleted row has no value.
type Row struct {
	Table   Table
	Part    Part
	Key     Key
	Value   []byte
	Version Version
	Deleted bool
}

// Condition is the version that a row must have; 0 means that the row must not exist.
type Condition struct {
	Table   Table
	Part    Part
	Key     Key
	Version Version
}

// Transaction is applied atomically. All rows share one part.
type Transaction struct {
	Conditions []Condition
	Puts       []Row
	Removes    []Row
}

// Range is a range of keys of one part.
type Range struct {
	Table Table
	Part  Part
	// From is the first key.
	From Key
	// Until is the first key after the range; empty for no end.
	Until Key
	// Limit bounds the rows of a page; 0 means that only the store does.
	Limit int
}

// Only returns the range of a single key.
func Only(table Table, part Part, key Key) Range {
	return Range{Table: table, Part: part, From: key, Until: key + "\x00"}
}

// Page is one page of a scan or of the feed of changes.
type Page struct {
	Rows []Row
	More bool
	// Version is the newest version when the page was read.
	Version Version
	// Behind is set for an answer older than another one that had come before the page was asked for. It may lack
	// changes that were made before.
	Behind bool
}

// ConflictError reports a condition that did not hold. Nothing was changed.
type ConflictError struct {
	// Rows are the current rows of the conditions; rows that do not exist are left out.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition of the transaction does not hold (%d current rows)", len(e.Rows))
}

// RefusedError reports a call that the store did not execute.
type RefusedError struct {
	Call   string
	Status int
	Cause  error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store refused %s with status %d: %v", e.Call, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// Overloaded reports whether the store is overloaded, so that a retry may succeed soon, rather than
// unavailable.
func (e *RefusedError) Overloaded() bool { return e.Status == http.StatusTooManyRequests }

// UnknownError reports a call without an answer. It may have been, or may yet be, executed.
type UnknownError struct {
	Call  string
	Cause error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "no answer from the store to " + e.Call + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// UnreadableError reports rows of a page that cannot be decoded. The page holds the others.
type UnreadableError struct {
	// Rows counts the unreadable rows.
	Rows int
	// LastKey is the largest key of an unreadable row, or empty when no key could be read.
	LastKey Key
	Cause   error
}

// Error implements error.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("%d rows cannot be decoded (last key %q): %v", e.Rows, e.LastKey, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// HistoryError reports that the store no longer has the changes since a version, or more of them than one response
// may hold.
type HistoryError struct {
	Since Version
}

// Error implements error.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("the store cannot list the changes since version %d", e.Since)
}
