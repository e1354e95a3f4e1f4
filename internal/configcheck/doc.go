// Package configcheck finds what is wrong or suspicious in a configuration before it is sent.
//
// # Concepts
//
// A Finding has a code that scripts can rely on, a severity, a place (kind, name and field of a document) and a message.
// An error is what control replicas would refuse. A warning is an entry that no request or target can ever match, or
// limits that contradict each other; such a configuration is accepted.
//
// A warning is only given for what follows from the input alone. Facts that are not part of a configuration, such as the
// targets that run or the time that their work usually takes, are optional parts of Input; without them the checks that
// need them find nothing.
//
// # Data flow
//
//	Input --Check--> findings
//	documents in force, documents to send --Diff--> differences, with keys replaced by their number
//
// The package uses no network and needs no time. The places are those of documents; whoever read them from another format
// translates them back.
package configcheck
