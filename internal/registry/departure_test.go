package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// restart returns the Local of the next process of a node, restored from what a replica holds after the former one has stored its
// departures there. late is taken before that.
func restart(t *testing.T, now time.Time, before *Local, replica *Relay, late ...Report) (*Local, map[string]ReportResult) {
	t.Helper()
	_, stored := replica.MergeDepartures(now, &apiv1.DepartureRequest{Node: "n", Departed: before.Departures()})
	require.True(t, stored)
	after := NewLocal(LocalOptions{Node: "n", Incarnation: before.options.Incarnation + 1, AwaitRestore: true})
	for _, r := range late {
		require.Equal(t, ReportHeld, takeReport(t, after, now, r))
		require.Empty(t, after.Section().Load().Targets, "a target is listed before it is known whether it has left")
	}
	records, stored := replica.MergeDepartures(now, &apiv1.DepartureRequest{Node: "n"})
	require.True(t, stored)
	_, results := after.Restore(now, records)
	return after, results
}

func newNode() *Local { return NewLocal(LocalOptions{Node: "n", Incarnation: 1}) }

// TestRestartedNodeDoesNotBringBackATargetThatLeft guards against a restarted node listing a target again that had left
// before. The node process that confirmed the leave has ended, and the new one receives a delayed report of the target.
func TestRestartedNodeDoesNotBringBackATargetThatLeft(t *testing.T) {
	before, now := newNode(), time.Now()
	takeReport(t, before, now, newReport("a", 1, 1, readyState))
	require.True(t, before.RemoveReported(now, "a"))
	late := newReport("a", 1, 2, readyState)
	after, results := restart(t, now.Add(time.Second), before, newReplica("r"), late)
	require.Equal(t, map[string]ReportResult{"a": ReportFromEndedProcess}, results)
	require.Equal(t, ReportFromEndedProcess, takeReport(t, after, now.Add(time.Second), late))
	_, listed := after.Section().Load().Targets["a"]
	require.False(t, listed, "the target that left is listed again for the life of an announcement")
}

// TestRestartedNodeKeepsATargetDraining guards against a delayed report from before the drain making a target ready again in the process
// after the one that confirmed the drain.
func TestRestartedNodeKeepsATargetDraining(t *testing.T) {
	before, now := newNode(), time.Now()
	takeReport(t, before, now, newReport("a", 1, 1, readyState))
	takeReport(t, before, now, newReport("a", 1, 3, leavingState))
	after, _ := restart(t, now, before, newReplica("r"), newReport("a", 1, 2, readyState))
	require.Equal(t, leavingState, after.Section().Load().Targets["a"].State)
	takeReport(t, after, now, newReport("a", 1, 4, leavingState))
	require.Equal(t, leavingState, after.Section().Load().Targets["a"].State)
}

// TestDepartureOfAnUnknownTargetBinds guards against a removal that a process confirms without having heard of the target, since it has just
// started: a report from before must not list it.
func TestDepartureOfAnUnknownTargetBinds(t *testing.T) {
	l, now := NewLocal(LocalOptions{Node: "n", Incarnation: 2, AwaitRestore: true}), time.Now()
	require.False(t, l.RemoveReported(now, "a"))
	require.Len(t, l.Departures(), 1)
	l.Restore(now, nil)
	require.Equal(t, ReportFromEndedProcess, takeReport(t, l, now, newReport("a", 1, 2, readyState)))
	next := newReport("a", 1, 1, readyState)
	next.Start = now.Add(time.Second)
	require.Equal(t, ReportAccepted, takeReport(t, l, now.Add(2*time.Second), next), "a later run has not left")
}

// TestRemovalOfAHeldTargetBinds guards against a report that is held back listing its target after the target has left.
func TestRemovalOfAHeldTargetBinds(t *testing.T) {
	l, now := NewLocal(LocalOptions{Node: "n", Incarnation: 2, AwaitRestore: true}), time.Now()
	require.Equal(t, ReportHeld, takeReport(t, l, now, newReport("a", 1, 1, readyState)))
	l.RemoveReported(now, "a")
	l.Restore(now, nil)
	require.Empty(t, l.Section().Load().Targets)
	require.Equal(t, ReportFromEndedProcess, takeReport(t, l, now, newReport("a", 1, 2, readyState)))
}

// TestRestartedNodeListsTargetsThatStay guards against a restart that takes a target for gone because its announcement had ended, because
// another one took its address, or because an earlier run of it had left.
func TestRestartedNodeListsTargetsThatStay(t *testing.T) {
	before, now := newNode(), time.Now()
	at := func(name string, start int, address string) Report {
		r := newReport(name, start, 1, readyState)
		r.Address = address
		return r
	}
	takeReport(t, before, now, at("expired", 1, "127.0.0.1:1"))
	require.Len(t, before.Expire(now.Add(DefaultTTL)), 1)
	takeReport(t, before, now, at("renewed", 1, "127.0.0.1:2"))
	require.True(t, before.RemoveReported(now, "renewed"))
	takeReport(t, before, now, at("steady", 1, "127.0.0.1:3"))
	after, _ := restart(t, now, before, newReplica("r"),
		at("expired", 1, "127.0.0.1:1"), at("renewed", 2, "127.0.0.1:2"), at("steady", 1, "127.0.0.1:3"), at("new", 1, "127.0.0.1:4"))
	for _, name := range []string{"expired", "renewed", "steady", "new"} {
		require.Contains(t, after.Section().Load().Targets, name)
	}
}

// TestNoticeInAnAnswerEndsWithTheProcess guards against a restart that finds a target leaving, or not, by whether the record of it was out: a
// notice in an answer is no report, and entries that have passed it on remember it.
func TestNoticeInAnAnswerEndsWithTheProcess(t *testing.T) {
	before, now := newNode(), time.Now()
	takeReport(t, before, now, newReport("a", 1, 1, readyState))
	before.MarkLeaving(now, "a", time.UnixMilli(1))
	require.Equal(t, leavingState, before.Section().Load().Targets["a"].State)
	require.Empty(t, before.Departures())
	replica := newReplica("r")
	_, records := before.Records()
	replica.HandleHeartbeat(now, &apiv1.SyncRequest{Node: "n", Incarnation: 1, Address: "n", AnnouncedFull: true, AnnouncedVersion: 9, Announced: records, Sequence: 1})
	after, _ := restart(t, now, before, replica, newReport("a", 1, 2, readyState))
	require.Equal(t, readyState, after.Section().Load().Targets["a"].State)

	takeReport(t, before, now, newReport("a", 1, 3, leavingState))
	require.Len(t, before.Departures(), 1, "a report that follows the notice is a departure")
}

// TestReportsAreHeldBackForALimitedTime guards against a node that lists no target as long as it reaches too few control replicas, though the
// target goes on sending reports.
func TestReportsAreHeldBackForALimitedTime(t *testing.T) {
	l, now := NewLocal(LocalOptions{Node: "n", Incarnation: 2, AwaitRestore: true}), time.Now()
	for i := range int(maxHold / time.Second) {
		require.Equal(t, ReportHeld, takeReport(t, l, now.Add(time.Duration(i)*time.Second), newReport("a", 1, i+1, readyState)))
		require.False(t, l.Restored())
	}
	require.Equal(t, ReportAccepted, takeReport(t, l, now.Add(maxHold), newReport("a", 1, 99, readyState)))
	require.True(t, l.Restored())
}

// TestDepartureReachesOtherReplicas guards against a departure that is lost with the replicas that stored it, since they don't pass it on, or
// since the node's next process announces a set without the target.
func TestDepartureReachesOtherReplicas(t *testing.T) {
	before, now := newNode(), time.Now()
	takeReport(t, before, now, newReport("a", 1, 1, readyState))
	takeReport(t, before, now, newReport("a", 1, 2, leavingState))
	first, second := newReplica("first"), newReplica("second")
	_, stored := first.MergeDepartures(now, &apiv1.DepartureRequest{Node: "n", Departed: before.Departures()})
	require.True(t, stored)
	first.HandleHeartbeat(now, &apiv1.SyncRequest{Node: "n", Incarnation: 2, Address: "n", AnnouncedFull: true, AnnouncedVersion: 1, Sequence: 1})
	second.Merge(now, first.BuildMessage(now, "second"))
	records, _ := second.MergeDepartures(now, &apiv1.DepartureRequest{Node: "n"})
	require.Len(t, records, 1)
	require.True(t, records[0].Departed)
	require.Equal(t, time.UnixMilli(1).UnixNano(), records[0].StartedUnixNs)
	_, stored = first.MergeDepartures(now, &apiv1.DepartureRequest{Node: "n", Departed: before.Departures()})
	require.False(t, stored, "an earlier process of the node stores nothing once a later one is known")
}
