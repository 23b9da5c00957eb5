// Package deploy holds settings files of silvergate's components.
package deploy

import _ "embed"

// Up is the settings file of the site that `silvergate up` runs by default.
//
//go:embed up.yaml
var Up []byte

// Archive is an example of an archive node's settings file.
//
//go:embed archive.yaml
var Archive []byte
