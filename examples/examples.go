// Package examples holds jobs to begin with.
package examples

import _ "embed"

// Hello is hello.yaml.
//
//go:embed hello.yaml
var Hello []byte
