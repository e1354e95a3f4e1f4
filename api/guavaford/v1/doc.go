// Package guavafordv1 holds the messages that nodes and control replicas exchange.
// The Go files are generated from the .proto files and committed, so that a build needs no generator.
package guavafordv1

//go:generate sh ../../generate.sh
