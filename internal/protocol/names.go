package protocol

import (
	"math"
	"path"
	"strings"
	"unicode/utf8"
)

// Limits of names, in bytes.
const (
	minJobID        = len(jobIDPrefix) + 6
	maxJobID        = 24
	maxKeySegment   = 150
	maxText         = 200 // free texts of a submission
	maxRelativePath = 1000
	maxVariableName = 200
)

const jobIDPrefix = "wk-"

// ValidJobID reports whether id has the form of a job id: wk- and six or more digits.
func ValidJobID(id string) bool {
	digits, hasPrefix := strings.CutPrefix(id, jobIDPrefix)
	if !hasPrefix || len(id) < minJobID || len(id) > maxJobID {
		return false
	}
	for i := range len(digits) {
		if !isDigit(digits[i]) {
			return false
		}
	}
	return true
}

// ValidName reports whether name can name a data set, a version or an image: whether it
// is safe in a key, in a path and as a file name.
func ValidName(name string) bool {
	return validKeySegment(name) && name[0] != '.' && name[0] != '-'
}

// ValidRelativePath reports whether name is a clean relative path that does not lead out
// of the directory it is relative to.
func ValidRelativePath(name string) bool {
	if name == "" || len(name) > maxRelativePath || !utf8.ValidString(name) || strings.ContainsAny(name, "\x00\\") {
		return false
	}
	if path.Clean(name) != name || name == "." || name == ".." {
		return false
	}
	return !strings.HasPrefix(name, "/") && !strings.HasPrefix(name, "../")
}

// validKeySegment reports whether text can stand between two slashes in a key of the
// state service.
func validKeySegment(text string) bool {
	if text == "" || len(text) > maxKeySegment {
		return false
	}
	for i := range len(text) {
		if c := text[i]; !isLetter(c) && !isDigit(c) && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

// validVariableName reports whether name can name an environment variable.
func validVariableName(name string) bool {
	if name == "" || len(name) > maxVariableName || isDigit(name[0]) {
		return false
	}
	for i := range len(name) {
		if c := name[i]; !isLetter(c) && !isDigit(c) && c != '_' {
			return false
		}
	}
	return true
}

// isHexadecimal reports whether text consists of digits and the lower-case letters a to f.
func isHexadecimal(text string) bool {
	for i := range len(text) {
		if c := text[i]; !isDigit(c) && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// maxAmount is above any amount that makes sense.
const maxAmount = 1e15

// isAmount reports whether value can be a number of CPUs, gigabytes, seconds and so on.
func isAmount(value float64) bool {
	return value >= 0 && !math.IsInf(value, 0) && !math.IsNaN(value) && value < maxAmount
}
