package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// DecodeYAML reads one YAML document into v. Unknown and repeated keys are errors that name
// the key. A key that the document lacks leaves its value in v unchanged, so an empty
// document leaves all of v unchanged.
func DecodeYAML(raw []byte, v any) error {
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	if err := dec.Decode(v); err != nil && !errors.Is(err, io.EOF) {
		return quoteLines(raw, err)
	}
	if err := dec.Decode(new(any)); !errors.Is(err, io.EOF) {
		return errors.New("more than one document")
	}
	return nil
}

// linePrefix matches the line number with which the yaml package begins an error.
var linePrefix = regexp.MustCompile(`^line (\d+): `)

// quoteLines joins the errors of the yaml package and adds to each the text of its line: the
// package itself names the line and a type, but not the key.
func quoteLines(raw []byte, err error) error {
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		return err
	}
	lines := strings.Split(string(raw), "\n")
	quoted := make([]string, 0, len(typeError.Errors))
	for _, text := range typeError.Errors {
		if found := linePrefix.FindStringSubmatch(text); found != nil {
			if n, _ := strconv.Atoi(found[1]); n >= 1 && n <= len(lines) {
				text = fmt.Sprintf("line %d (%.80s): %s", n, strings.TrimSpace(lines[n-1]), text[len(found[0]):])
			}
		}
		quoted = append(quoted, text)
	}
	return errors.New(strings.Join(quoted, "; "))
}
