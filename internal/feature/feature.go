// Package feature defines the load-management mechanisms that can be disabled, to measure the effect of each.
//
// Mechanisms that a guarantee depends on can't be disabled: fencing, at-most-once execution, rates, withdrawn
// keys, quorums and truthful answers.
package feature

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Name is the name of a feature that can be disabled.
type Name string

// The features. All are enabled by default.
const (
	// EntryShedding refuses new requests at their entry if a service that they call is overloaded.
	EntryShedding Name = "entry-shedding"
	// SuccessProbability refuses new requests that are unlikely to finish because too many of their calls are
	// lost.
	SuccessProbability Name = "finish-chance"
	// NestedQueueing leaves the time for which the calls of a request wait at services below out of the load of its
	// own service.
	NestedQueueing Name = "nested-queueing"
	// LoadExchange exchanges load readings between nodes with targets of the same service.
	LoadExchange Name = "load-exchange"
	// ScanAllTargets considers all targets of the local data centre before a call leaves it.
	ScanAllTargets Name = "look-around"
	// SlowTargets avoids targets that are much slower than others.
	SlowTargets Name = "slow-targets"
	// LearnedCapacity divides calls among targets by what each is learned to handle well.
	LearnedCapacity Name = "learned-capacity"
	// SpillWhenFull sends calls from a full data centre to another with a shorter queue.
	SpillWhenFull Name = "full-spill"
	// EvenSpread decides by the demand of a data centre how many calls leave it.
	EvenSpread Name = "even-spread"
	// Ejection avoids targets that fail repeatedly.
	Ejection Name = "ejection"
	// SlowStart raises the load of new targets gradually.
	SlowStart Name = "slow-start"
	// CrashQuarantine keeps requests that crash targets from crashing more of them.
	CrashQuarantine Name = "crash-quarantine"
	// ColdProbes asks warm targets with a cold rate at short intervals whether they have become cold.
	ColdProbes Name = "cold-probes"
	// SilentOwnerShares lets nodes spend their share of a rate while the owner of the rate does not respond.
	SilentOwnerShares Name = "standing-rates"
	// LinkSharing lets small frames go before bodies on the link between two nodes, and shares the link among bodies.
	LinkSharing Name = "link-sharing"
	// LateBodies refuses bodies that can't arrive in time before they are sent to another node. It needs LinkSharing.
	LateBodies Name = "late-bodies"
)

// all lists the features with what each does, in the order of the help text.
var all = []struct {
	name        Name
	description string
}{
	{EntryShedding, "refuse new requests if a service that they call is overloaded"},
	{SuccessProbability, "refuse new requests that are unlikely to finish because calls are lost"},
	{NestedQueueing, "leave the waiting of a request's calls out of the load of its own service"},
	{LoadExchange, "exchange load readings between nodes with targets of the same service"},
	{ScanAllTargets, "consider all targets of the data centre before a call leaves it"},
	{SlowTargets, "avoid slow targets"},
	{LearnedCapacity, "divide calls among targets by what each is learned to handle well"},
	{SpillWhenFull, "send calls from a full data centre to another with a shorter queue"},
	{EvenSpread, "decide by the demand of a data centre how many calls leave it, not by single full targets"},
	{Ejection, "avoid targets that fail repeatedly"},
	{SlowStart, "raise the load of new targets gradually"},
	{CrashQuarantine, "run requests that were in flight when targets crashed on trial, and refuse those that crash them"},
	{ColdProbes, "ask targets with a cold rate every 250 ms whether they have become cold"},
	{SilentOwnerShares, "spend the node's share of a rate while the owner of the rate does not respond"},
	{LinkSharing, "send small frames before bodies between nodes, and share the link among bodies"},
	{LateBodies, "refuse bodies that can't arrive in time at the node beside their target (needs link-sharing)"},
}

// Set holds the disabled features. In the zero value all are enabled.
type Set struct {
	disabled map[Name]bool
}

// Parse returns the set that disables the named features, or an error for an unknown name.
func Parse(names []string) (Set, error) {
	s := Set{disabled: map[Name]bool{}}
	for _, name := range names {
		if !known(Name(name)) {
			return Set{}, errors.Errorf("unknown feature %q; the features are %s", name, strings.Join(Names(), ", "))
		}
		s.disabled[Name(name)] = true
	}
	return s, nil
}

// known reports whether a feature of the name exists.
func known(name Name) bool {
	return slices.ContainsFunc(all, func(f struct {
		name        Name
		description string
	}) bool {
		return f.name == name
	})
}

// Names returns the names of all features.
func Names() []string {
	names := make([]string, 0, len(all))
	for _, f := range all {
		names = append(names, string(f.name))
	}
	return names
}

// Help returns the help text, one line for each feature.
func Help() string {
	var b strings.Builder
	for _, f := range all {
		b.WriteString("  " + string(f.name) + ": " + f.description + "\n")
	}
	return b.String()
}

// On reports whether a feature is enabled.
func (s Set) On(name Name) bool { return !s.disabled[name] }

// Off returns the names of the disabled features, for the log and the status.
func (s Set) Off() []string {
	var names []string
	for _, f := range all {
		if s.disabled[f.name] {
			names = append(names, string(f.name))
		}
	}
	return names
}
