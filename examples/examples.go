// Package examples holds example jobs for new users.
package examples

import _ "embed"

// Hello is the job file hello.yaml.
//
//go:embed hello.yaml
var Hello []byte
