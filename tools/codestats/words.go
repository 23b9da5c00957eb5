package main

import (
	"strings"
	"unicode"
)

// wordSet returns the set of the given words in lower case.
func wordSet(words []string) map[string]bool {
	set := make(map[string]bool, len(words))
	for _, word := range words {
		set[strings.ToLower(strings.TrimSpace(word))] = true
	}
	return set
}

// splitWords splits an identifier at underscores and changes of case into words in lower case: HTTPLineURL is http, line, url.
func splitWords(identifier string) []string {
	var words []string
	letters := []rune(identifier)
	start := 0
	for i := range letters {
		if startsWord(letters, i) {
			words = appendWord(words, letters[start:i])
			start = i
		}
	}
	return appendWord(words, letters[start:])
}

// startsWord reports whether a word starts at letters[i]: at an underscore, at an upper case letter after
// another kind of letter, and at the last upper case letter of several that a lower case letter follows.
func startsWord(letters []rune, i int) bool {
	if i == 0 {
		return false
	}
	if letters[i] == '_' {
		return true
	}
	if !unicode.IsUpper(letters[i]) {
		return false
	}
	if !unicode.IsUpper(letters[i-1]) {
		return true
	}
	return i+1 < len(letters) && unicode.IsLower(letters[i+1])
}

func appendWord(words []string, letters []rune) []string {
	word := strings.Trim(string(letters), "_0123456789")
	if word == "" {
		return words
	}
	return append(words, strings.ToLower(word))
}
