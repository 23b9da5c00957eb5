package protocol

import (
	"errors"
	"fmt"
)

// FieldError says which field of a message cannot be accepted, and why. Users see its
// text, so it is part of the interface.
type FieldError struct {
	// Field is the field's JSON name, with the way to it if it is nested: "inputs[0].set".
	Field string
	// Problem is the reason, for people.
	Problem string
}

// Error is the text that users see.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// badField makes a FieldError with a formatted problem.
func badField(field, problem string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(problem, args...)}
}

var (
	// ErrNotObject says that a body cannot be a JSON object.
	ErrNotObject = errors.New("the body is not a JSON object")
	// ErrNestedTooDeeply says that a message's objects and arrays go deeper than those of
	// any message of the protocols.
	ErrNestedTooDeeply = errors.New("nested too deeply")
)

// ErrorResponse is the body of a response that reports an error.
type ErrorResponse struct {
	Error string `json:"error"`
}
