// Package check holds the checks that the generated Check methods of messages apply.
package check

import (
	"fmt"
	"strings"
)

// FieldError reports a field of a message that is out of bounds. The message was refused without effect.
type FieldError struct {
	// Field is the path of the field in kebab case, such as "budget.min-available-vms".
	Field string
	// Bound describes the allowed values.
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return "field " + e.Field + ": want " + e.Bound
}

// Within adds the name of the enclosing field to the path of a field error. It returns nil for nil.
func Within(field string, err error) error {
	if err == nil {
		return nil
	}
	if e, ok := err.(*FieldError); ok { //nolint:errorlint // generated code never wraps
		return &FieldError{Field: field + "." + e.Field, Bound: e.Bound}
	}
	return err
}

// Length checks a length in bytes; bounds of 0 are not checked.
func Length(field string, length, minLen, maxLen int) error {
	if minLen > 0 && length < minLen {
		return &FieldError{Field: field, Bound: fmt.Sprintf("at least %d bytes", minLen)}
	}
	if maxLen > 0 && length > maxLen {
		return &FieldError{Field: field, Bound: fmt.Sprintf("at most %d bytes", maxLen)}
	}
	return nil
}

// Items checks the number of items of a repeated field; a bound of 0 is not checked.
func Items(field string, count, maxItems int) error {
	if maxItems > 0 && count > maxItems {
		return &FieldError{Field: field, Bound: fmt.Sprintf("at most %d items", maxItems)}
	}
	return nil
}

// OneOf checks that a value is one of the allowed ones.
func OneOf(field, value string, allowed ...string) error {
	for _, a := range allowed {
		if value == a {
			return nil
		}
	}
	return &FieldError{Field: field, Bound: "one of " + strings.Join(allowed, ", ")}
}

// Identifier checks that a value holds only lower-case letters, digits, '.', '_' and '-'.
func Identifier(field, value string) error {
	for i := 0; i < len(value); i++ {
		if !isIdentifierByte(value[i]) {
			return &FieldError{Field: field, Bound: "lower-case letters, digits, '.', '_' and '-' only"}
		}
	}
	return nil
}

func isIdentifierByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= '0' && b <= '9' || b == '.' || b == '_' || b == '-'
}

// AtLeast checks the lower bound of a number.
func AtLeast(field string, value, lowest int64) error {
	if value < lowest {
		return &FieldError{Field: field, Bound: fmt.Sprintf("at least %d", lowest)}
	}
	return nil
}

// AtMost checks the upper bound of a number.
func AtMost(field string, value, highest int64) error {
	if value > highest {
		return &FieldError{Field: field, Bound: fmt.Sprintf("at most %d", highest)}
	}
	return nil
}

// Required checks that a message field is present.
func Required(field string, present bool) error {
	if !present {
		return &FieldError{Field: field, Bound: "a value"}
	}
	return nil
}
