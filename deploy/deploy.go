// Package deploy holds the files that parts of silvergate are enabled with.
package deploy

import _ "embed"

// Up is the site that `silvergate up` runs unless it is told another.
//
//go:embed up.yaml
var Up []byte

// Archive is an example of an archive node's settings.
//
//go:embed archive.yaml
var Archive []byte
