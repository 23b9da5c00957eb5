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

// DecodeYAML reads one YAML document into v. Unknown and repeated keys are errors, which
// name them; what is left out keeps its value, and an empty document leaves out
// everything.
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

// linePrefix is how yaml names the line that an error is about.
var linePrefix = regexp.MustCompile(`^line (\d+): `)

// quoteLines joins yaml's errors, each with the text of the line that it is about: yaml
// itself names the line and a type, but not the key.
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
