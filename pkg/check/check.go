// Package check holds the bounds that the generated Check methods of messages apply.
package check

import (
	"fmt"
	"strings"
)

// FieldError reports a field of a message that is out of bounds. The message did not run.
type FieldError struct {
	// Field is the path of the field in kebab case, such as "budget.min-available-vms".
	Field string
	// Bound says what is allowed.
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return "field " + e.Field + ": want " + e.Bound
}

// Within prefixes the path of a nested field error. It returns nil for nil.
func Within(field string, err error) error {
	if err == nil {
		return nil
	}
	if e, ok := err.(*FieldError); ok { //nolint:errorlint // generated code never wraps
		return &FieldError{Field: field + "." + e.Field, Bound: e.Bound}
	}
	return err
}

// Length checks a length in bytes; shortest and longest of 0 do not bind.
func Length(field string, length, shortest, longest int) error {
	if shortest > 0 && length < shortest {
		return &FieldError{Field: field, Bound: fmt.Sprintf("at least %d bytes", shortest)}
	}
	if longest > 0 && length > longest {
		return &FieldError{Field: field, Bound: fmt.Sprintf("at most %d bytes", longest)}
	}
	return nil
}

// Items checks the number of items of a repeated field; most of 0 does not bind.
func Items(field string, count, most int) error {
	if most > 0 && count > most {
		return &FieldError{Field: field, Bound: fmt.Sprintf("at most %d items", most)}
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
