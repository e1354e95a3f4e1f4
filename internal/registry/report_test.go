package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

func newReport(name string, start, sequence int, state apiv1.TargetState) Report {
	return Report{
		Announcement: Announcement{Name: name, Service: "rooms", Address: "127.0.0.1:9", Slots: 4, State: state},
		Start:        time.UnixMilli(int64(start)),
		Sequence:     uint64(sequence),
	}
}

func takeReport(t *testing.T, l *Local, now time.Time, r Report) ReportResult {
	verdict, refusal := l.ApplyReport(now, r)
	require.Nil(t, refusal)
	return verdict
}

const (
	readyState   = apiv1.TargetState_TARGET_STATE_READY
	leavingState = apiv1.TargetState_TARGET_STATE_LEAVING
)

// TestLateReportDoesNotUndoDraining guards against a delayed report from before the drain making a leaving target ready.
func TestLateReportDoesNotUndoDraining(t *testing.T) {
	l, now := NewLocal(LocalOptions{Node: "n"}), time.Now()
	require.Equal(t, ReportAccepted, takeReport(t, l, now, newReport("a", 1, 1, readyState)))
	require.Equal(t, ReportAccepted, takeReport(t, l, now, newReport("a", 1, 3, leavingState)))
	require.Equal(t, ReportOutdated, takeReport(t, l, now, newReport("a", 1, 2, readyState)))
	require.Equal(t, leavingState, l.Section().Load().Targets["a"].State)
}

// TestTargetThatSaysItLeavesStaysLeaving guards against a report that makes a target ready again after it has said in an answer that it
// leaves, and against a mark that outlasts that run of the target.
func TestTargetThatSaysItLeavesStaysLeaving(t *testing.T) {
	l, now := NewLocal(LocalOptions{Node: "n"}), time.Now()
	state := func() apiv1.TargetState { return l.Section().Load().Targets["a"].State }
	takeReport(t, l, now, newReport("a", 1, 1, readyState))
	l.MarkLeaving(now, "a", time.UnixMilli(2))
	require.Equal(t, readyState, state(), "another run")
	l.MarkLeaving(now, "a", time.UnixMilli(1))
	require.Equal(t, leavingState, state())
	takeReport(t, l, now, newReport("a", 1, 2, readyState))
	require.Equal(t, leavingState, state())
	takeReport(t, l, now, newReport("a", 2, 1, readyState))
	require.Equal(t, readyState, state(), "the next run")
}

// TestStartOfATargetOutlastsItsNode guards against a restarted node that makes a run of a target look like another one.
func TestStartOfATargetOutlastsItsNode(t *testing.T) {
	for incarnation := range uint64(2) {
		l := NewLocal(LocalOptions{Node: "n", Incarnation: incarnation})
		takeReport(t, l, time.Now(), newReport("a", 1, 1, readyState))
		require.True(t, FromRecord(l.Section().Load().Targets["a"].Record()).Started.Equal(time.UnixMilli(1)))
	}
}

// TestRestartedTargetResetsReportSequence guards against rejecting the reports of a new process because its sequence
// numbers start again, and against accepting delayed reports of the old process.
func TestRestartedTargetResetsReportSequence(t *testing.T) {
	l, now := NewLocal(LocalOptions{Node: "n"}), time.Now()
	takeReport(t, l, now, newReport("a", 1, 9, leavingState))
	require.Equal(t, ReportAccepted, takeReport(t, l, now, newReport("a", 2, 1, readyState)))
	require.Equal(t, ReportFromEndedProcess, takeReport(t, l, now, newReport("a", 1, 10, leavingState)), "a report of the process that has ended")
	require.Equal(t, readyState, l.Section().Load().Targets["a"].State)
}

// TestLateReportDoesNotBringBackATargetThatLeft guards against a delayed report listing a target again after it left.
func TestLateReportDoesNotBringBackATargetThatLeft(t *testing.T) {
	l, now := NewLocal(LocalOptions{Node: "n"}), time.Now()
	takeReport(t, l, now, newReport("a", 1, 1, readyState))
	require.True(t, l.RemoveReported(now, "a"))
	require.Equal(t, ReportFromEndedProcess, takeReport(t, l, now, newReport("a", 1, 2, readyState)))
	require.Empty(t, l.Section().Load().Targets)
	require.Equal(t, ReportAccepted, takeReport(t, l, now, newReport("a", 2, 1, readyState)), "a new process under the same name")
}

// TestLateReportDoesNotTakeTheAddressOfALaterTarget guards against a delayed report of an old target removing the
// target that now runs at its address.
func TestLateReportDoesNotTakeTheAddressOfALaterTarget(t *testing.T) {
	l, now := NewLocal(LocalOptions{Node: "n"}), time.Now()
	takeReport(t, l, now, newReport("new", 5, 1, readyState))
	require.Equal(t, ReportFromEndedProcess, takeReport(t, l, now, newReport("old", 1, 99, readyState)))
	require.Contains(t, l.Section().Load().Targets, "new")
}

// TestInvalidReportKeepsKnownTarget guards against an invalid report removing the target that it names.
func TestInvalidReportKeepsKnownTarget(t *testing.T) {
	l, now := NewLocal(LocalOptions{Node: "n"}), time.Now()
	takeReport(t, l, now, newReport("a", 1, 1, readyState))
	bad := newReport("a", 1, 2, readyState)
	bad.Address = "nowhere"
	_, refusal := l.ApplyReport(now, bad)
	require.NotNil(t, refusal)
	require.Contains(t, l.Section().Load().Targets, "a")
}
