package protocol

import (
	"errors"
	"fmt"
)

// FieldError says which field of a message cannot be accepted, and why. Users see its
// text, so it is part of the interface.
type FieldError struct {
	// Field is the field's JSON name, with its path if it is nested: "inputs[0].set".
	Field string
	// Problem is the reason, as users read it.
	Problem string
}

// Error returns the text that users see.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// badField returns a *FieldError with a formatted problem.
func badField(field, problem string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(problem, args...)}
}

var (
	// ErrNotObject means that a body cannot be a JSON object.
	ErrNotObject = errors.New("the body is not a JSON object")
	// ErrNestedTooDeeply means that a message nests objects and arrays deeper than any
	// message of the protocols does.
	ErrNestedTooDeeply = errors.New("nested too deeply")
)

// ErrorResponse is the body of a response that reports an error.
type ErrorResponse struct {
	Error string `json:"error"`
}
