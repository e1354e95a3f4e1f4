package cli

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/operator"
	"github.com/guavaford/guavaford/internal/quarantine"
	"github.com/guavaford/guavaford/internal/settings"
	"github.com/guavaford/guavaford/internal/store"
	"github.com/guavaford/guavaford/internal/telemetry"
)

const testToken = "0123456789abcdef0123456789abcdef"

// fakeControl is a control replica without replication: it applies each change at once.
type fakeControl struct {
	mu    sync.Mutex
	store *store.Store
	// proposals is the number of changes received.
	proposals int
	targets   []*apiv1.TargetRecord
	// released is set once the quarantined request was released.
	released bool
}

func newFakeControl() *fakeControl {
	check := func(resources []*apiv1.Resource) []string { return config.Check(resources).Strings() }
	return &fakeControl{store: store.New(check)}
}

func (f *fakeControl) Propose(_ context.Context, r *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposals++
	command, err := proto.Marshal(f.store.Validate(r.GetChange()))
	if err != nil {
		return nil, err
	}
	var reply apiv1.StoreReply
	err = proto.Unmarshal(f.store.Apply(0, command), &reply)
	return &apiv1.ProposeResponse{Outcome: reply.GetOutcome()}, err
}

func (f *fakeControl) Sync(_ context.Context, r *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := f.store.UpdateSince(r.GetRevision())
	return &apiv1.SyncResponse{Vouched: true, VouchedRevision: changes.Revision, Snapshot: changes.Snapshot, Deltas: changes.Deltas}, nil
}

func (f *fakeControl) Status(context.Context) (*apiv1.ControlStatus, error) {
	return &apiv1.ControlStatus{Revision: f.store.PublishedState().Load().Revision, Vouched: true, Targets: f.targets,
		Nodes: []*apiv1.NodeLiveness{{Node: "n1", Address: "10.0.0.1:8083", Revision: 1, AgeNs: 5e6}}}, nil
}

// LocalStatus returns a fixed state of the answering node.
func (f *fakeControl) LocalStatus() operator.NodeStatus {
	return operator.NodeStatus{Name: "n1", Targets: []operator.LocalTarget{{Name: "jadual-1", Service: "jadual", InFlight: 3}}}
}

// quarantined is the request that the fake control replica knows until it is released.
var quarantined = operator.QuarantinedRequest{
	Fingerprint: strings.Repeat("ab", quarantine.FingerprintSize), Service: "jadual", Organisation: "court", Level: quarantine.Quarantined.String(), Crashes: 3,
	LastTarget: "n1/jadual-1", LastCrash: time.Unix(1_800_000_000, 0), Until: time.Unix(1_800_000_600, 0),
}

func (f *fakeControl) Quarantine() []operator.QuarantinedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.released {
		return nil
	}
	return []operator.QuarantinedRequest{quarantined}
}

func (f *fakeControl) Release(fingerprint quarantine.Fingerprint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.released || fingerprint.String() != quarantined.Fingerprint {
		return false
	}
	f.released = true
	return true
}

// fleet is a server with a fake control replica, and the settings of commands that call it.
type fleet struct {
	t       *testing.T
	control *fakeControl
	servers []string
	folder  string
	stdin   string
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	control := newFakeControl()
	server := httptest.NewServer(operator.NewHandler(control, testToken, telemetry.Discard(), control))
	t.Cleanup(server.Close)
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "token"), []byte(testToken+"\n"), 0o600))
	return &fleet{t: t, control: control, servers: []string{server.URL}, folder: folder}
}

// result is the exit code and the output of a command.
type result struct {
	code        int
	out, errOut string
}

// run runs a command against the servers of the fleet.
func (f *fleet) run(args ...string) result {
	f.t.Helper()
	f.t.Setenv("GUAVAFORD_SERVER", strings.Join(f.servers, ","))
	f.t.Setenv("GUAVAFORD_TOKEN_FILE", filepath.Join(f.folder, "token"))
	var out, errOut bytes.Buffer
	run := func(context.Context, *settings.Node) error { return nil }
	code := Main(context.Background(), append([]string{"guavaford"}, args...), strings.NewReader(f.stdin), &out, &errOut, run)
	return result{code, out.String(), errOut.String()}
}

// ok runs a command that must succeed, and returns its output.
func (f *fleet) ok(args ...string) string {
	f.t.Helper()
	r := f.run(args...)
	require.Equal(f.t, ExitOK, r.code, "%v: %s", args, r.errOut)
	return r.out
}

// fails runs a command that must end with the exit code, and returns its standard error.
func (f *fleet) fails(code int, args ...string) string {
	f.t.Helper()
	r := f.run(args...)
	require.Equal(f.t, code, r.code, "%v: %s", args, r.errOut)
	return r.errOut
}

// file writes a file of documents and returns its path.
func (f *fleet) file(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.folder, name)
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const example = `
{kind: Organisation, name: court, labels: {size: large}}
---
{kind: Rate, name: large, spec: {selector: size=large, perSecond: 100, burst: 20}}
---
{kind: Rate, name: small, spec: {selector: size=small, perSecond: 5, burst: 2, optional: true}}
---
{kind: Class, name: normal, spec: {priority: 5}}
---
{kind: Route, name: schedule, spec: {service: jadual, pathPrefix: /jadual, methods: [GET]}}
`

// TestApplyGetDescribeDelete follows documents from a file to the configuration and back. It guards against an apply
// that sends a change without a difference, and output of get that check does not accept.
func TestApplyGetDescribeDelete(t *testing.T) {
	f := newFleet(t)
	path := f.file("a.yaml", example)
	require.Equal(t, "5 documents, no problem\n", f.ok("check", "-f", path))
	f.ok("apply", "-f", path)
	require.Contains(t, f.ok("get", "organisations"), "court")
	f.ok("apply", "-f", path)
	require.Equal(t, 1, f.control.proposals, "an equal file changes nothing")

	f.stdin = f.ok("get", "all", "-o", "yaml")
	f.ok("check", "-f", "-")
	require.Contains(t, f.ok("describe", "route/schedule"), "Class/normal")
	require.Contains(t, f.fails(ExitInvalid, "delete", "rate/large"), "no Rate selects these labels")
	require.Contains(t, f.fails(ExitNotFound, "delete", "route", "nothing"), `Route "nothing" does not exist`)
	f.ok("delete", "route/schedule", "class/normal")
	require.NotContains(t, f.ok("get", "all"), "schedule")
}

// TestFaultyFileNamesFileAndLineAndChangesNothing guards against applying the valid documents of a file when another
// of its documents is not valid.
func TestFaultyFileNamesFileAndLineAndChangesNothing(t *testing.T) {
	f := newFleet(t)
	f.ok("apply", "-f", f.file("a.yaml", example))
	path := f.file("b.yaml", "kind: Organisation\nname: clinic\nlabels:\n  size: huge\n---\n{kind: Organisation, name: bar, labels: {size: small}}\n")
	require.Contains(t, f.fails(ExitInvalid, "apply", "-f", path), path+":4: Organisation/clinic: labels: no Rate selects these labels")
	require.NotContains(t, f.ok("get", "organisation"), "bar", "a faulty file changes nothing")
	require.Equal(t, 1, f.control.proposals)
}

// TestCheckOfAFolderReportsEveryFile guards against a check that stops at the first faulty file.
func TestCheckOfAFolderReportsEveryFile(t *testing.T) {
	f := newFleet(t)
	const folder = "../config/testdata/faulty"
	r := f.run("check", "-f", folder)
	require.Equal(t, exitCheckErrors, r.code)
	for _, file := range []string{"alias", "bad-label", "bad-unit", "not-yaml", "out-of-range", "unknown-field", "wrong-type"} {
		require.Contains(t, r.out, filepath.Join(folder, file+".yaml")+":")
	}
	require.Contains(t, r.out, "already defined at", "two files define the same document")
}

// TestLabelMovesAnOrganisationToAnotherRate guards against listings that show the former rate after a change of
// labels, and against labels that leave an organisation without a rate.
func TestLabelMovesAnOrganisationToAnotherRate(t *testing.T) {
	f := newFleet(t)
	f.ok("apply", "-f", f.file("a.yaml", strings.ReplaceAll(example, "burst: 20", "burst: 20, optional: true")))
	require.Contains(t, f.ok("get", "organisation"), "100")
	f.ok("label", "organisation/court", "size=small")
	require.Regexp(t, `court +1 +5 +2 +size=small`, f.ok("get", "organisation"))
	require.Contains(t, f.fails(ExitInvalid, "label", "organisation/court", "size-"), "no Rate selects")
	require.Contains(t, f.run("label", "-l", "size=small", "organisation", "size=small").errOut, "nothing to change")
}

// TestExpectedRevisionAndResend guards against a resend that is applied again or fails as a conflict, and against a
// change id that is accepted for another change.
func TestExpectedRevisionAndResend(t *testing.T) {
	f := newFleet(t)
	path := f.file("a.yaml", example)
	f.ok("apply", "-f", path, "--change-id", "first", "--expected-revision", "0")
	require.JSONEq(t, `{"id":"first","revision":1}`, f.ok("apply", "-f", path, "--change-id", "first", "--expected-revision", "0", "-o", "json"))
	again := f.run("apply", "-f", path, "--change-id", "first", "--expected-revision", "0")
	require.Equal(t, ExitOK, again.code, "a resend gets the recorded outcome")
	require.Contains(t, again.errOut, "accepted at revision 1")
	require.Contains(t, f.fails(ExitConflict, "apply", "-f", path, "--change-id", "second", "--expected-revision", "0"), "the current revision is 1")
	require.Contains(t, f.fails(ExitChangeIDReused, "delete", "route/schedule", "--change-id", "first", "--expected-revision", "0"), "first")
	require.Contains(t, f.fails(ExitUsage, "apply", "-f", path, "--change-id", "third"), "--expected-revision")
}

// TestKeys issues, lists and withdraws keys. It guards against a secret file that stays after its key was
// printed, and against withdrawn keys that are listed as valid.
func TestKeys(t *testing.T) {
	f := newFleet(t)
	f.ok("apply", "-f", f.file("a.yaml", example))
	require.Regexp(t, `^gf_1_[A-Za-z0-9_-]{43}\n$`, f.ok("keys", "issue", "court"))

	secret := filepath.Join(f.folder, "secret")
	f.servers = append([]string{"127.0.0.1:1"}, f.servers...)
	f.ok("keys", "issue", "court", "--secret-file", secret)
	require.NoFileExists(t, secret)
	require.Contains(t, f.fails(ExitInvalid, "keys", "issue", "nobody"), "nobody")
	f.ok("keys", "withdraw", "1")
	require.Regexp(t, `1 +court +withdrawn`, f.ok("keys", "list"))
	f.ok("keys", "withdraw", "--organisation", "court")
	require.NotContains(t, f.ok("keys", "list"), "valid")
	require.Contains(t, f.fails(ExitUsage, "keys", "withdraw", "gf_1_x"), "not the key itself")
	require.Contains(t, f.fails(ExitUsage, "get", "keys"), "keys list")
}

// TestQuarantineIsShownAndLifted guards against a quarantined request that get and quarantine list leave out, or show after its release.
func TestQuarantineIsShownAndLifted(t *testing.T) {
	f := newFleet(t)
	shown := f.ok("get", "quarantine")
	for _, part := range []string{quarantined.Fingerprint, "jadual", "court", "quarantined", "n1/jadual-1"} {
		require.Contains(t, shown, part)
	}
	require.Equal(t, shown, f.ok("quarantine", "list"))
	f.fails(ExitUsage, "quarantine", "release", "ab")
	require.Contains(t, f.ok("quarantine", "release", quarantined.Fingerprint), "is released")
	require.NotContains(t, f.ok("get", "quarantine"), quarantined.Fingerprint)
	require.NotEqual(t, ExitOK, f.run("quarantine", "release", quarantined.Fingerprint).code, "nothing is left to release")
}

// TestDrain guards against drained targets that still receive requests of a route, against repeated drains
// that send a change, and against drains that --undo does not find.
func TestDrain(t *testing.T) {
	f := newFleet(t)
	f.control.targets = []*apiv1.TargetRecord{{Name: "jadual-1", Service: "jadual", Node: "n4"}}
	f.ok("apply", "-f", f.file("a.yaml", example))
	for _, args := range [][]string{{"jadual/jadual-1"}, {"-l", "zone in (kl, shah-alam)", "jadual"}, {"--node", "n4"}} {
		f.ok(append([]string{"drain"}, args...)...)
		require.Contains(t, f.run(append([]string{"drain"}, args...)...).errOut, "nothing to change")
	}
	require.NotContains(t, f.ok("describe", "route/schedule"), "announced target")
	f.ok("drain", "--node", "n4", "--undo")
	f.ok("drain", "jadual/jadual-1", "--undo")
	require.Contains(t, f.ok("describe", "route/schedule"), "announced target/n4/jadual-1")
	f.fails(ExitNotFound, "drain", "--node", "n4", "--undo")
	require.Contains(t, f.fails(ExitInvalid, "drain", "unknown/x"), "no Route leads to service")
}

// TestDrainOfADataCentre guards against a drained data centre whose targets still receive requests, against one that
// "get" doesn't show, and against a drain that can't be taken back.
func TestDrainOfADataCentre(t *testing.T) {
	f := newFleet(t)
	f.control.targets = []*apiv1.TargetRecord{{Name: "jadual-1", Service: "jadual", Node: "n4", DataCentre: "KL_1"}}
	f.ok("apply", "-f", f.file("a.yaml", example))
	require.Contains(t, f.ok("describe", "route/schedule"), "announced target/n4/jadual-1")
	f.fails(ExitNotFound, "undrain", "data-centre", "KL_1")
	f.ok("drain", "data-centre", "KL_1")
	require.Contains(t, f.run("drain", "data-centre", "KL_1").errOut, "nothing to change")
	require.NotContains(t, f.ok("describe", "route/schedule"), "announced target")
	require.Contains(t, f.ok("describe", "data-centre/KL_1"), "announced target/n4/jadual-1")
	require.Regexp(t, `DATACENTRE +DRAIN +REVISION\nKL_1 +true +2\n`, f.ok("get", "datacentres"))
	require.Contains(t, f.ok("get", "all"), "KL_1")
	f.ok("undrain", "data-centre", "KL_1")
	require.Contains(t, f.ok("describe", "route/schedule"), "announced target/n4/jadual-1")
	f.ok("apply", "-f", f.file("b.yaml", "kind: DataCentre\nname: KL_1\nspec: {drain: false}\n"))
	f.ok("drain", "data-centre", "KL_1")
	require.NotContains(t, f.ok("describe", "route/schedule"), "announced target", "a document without a drain is taken for one")
}

// TestLostAnswerIsResentUnderTheSameID guards against a change that takes effect twice when the server applied it but
// its answer was lost.
func TestLostAnswerIsResentUnderTheSameID(t *testing.T) {
	f := newFleet(t)
	inner := operator.NewHandler(f.control, testToken, telemetry.Discard(), f.control)
	lossy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			inner.ServeHTTP(w, r)
			return
		}
		inner.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	defer lossy.Close()
	both := append([]string{lossy.URL}, f.servers...)

	f.servers = []string{lossy.URL}
	path := f.file("a.yaml", example)
	errOut := f.fails(ExitOutcomeUnknown, "apply", "-f", path, "--timeout", "300ms")
	require.Regexp(t, `--change-id [0-9a-f]{24} --expected-revision 0`, errOut)

	f.servers = both
	f.ok("delete", "route/schedule", "class/normal")
	require.Equal(t, uint64(2), f.control.store.PublishedState().Load().Revision, "the lost and the resent change count once")
}

// TestNoServer guards against a wrong exit code when no server answers or the token is refused, and against a client
// that stops at the first server that is down.
func TestNoServer(t *testing.T) {
	f := newFleet(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := listener.Addr().String()
	require.NoError(t, listener.Close())
	live := f.servers[0]
	f.servers = []string{dead}
	require.Contains(t, f.fails(ExitUnavailable, "apply", "-f", f.file("a.yaml", example), "--timeout", "200ms"), dead)
	f.servers = []string{dead, live}
	f.ok("status")
	f.file("token", strings.Repeat("x", 32))
	f.fails(ExitTokenRefused, "get", "all")
}

// TestUsageErrors guards against faulty command lines that end with another exit code than ExitUsage.
func TestUsageErrors(t *testing.T) {
	f := newFleet(t)
	for _, args := range [][]string{
		{"nonsense"}, {"get"}, {"get", "thing"}, {"get", "--nonsense"}, {"apply"}, {"check", "-f", "missing"}, {"label", "route/a"},
		{"label", "route", "a=b"}, {"drain"}, {"drain", "jadual"}, {"drain", "data-centre"}, {"drain", "data-centre", "-kl"}, {"undrain", "kl"}, {"undrain", "data-centre", "a", "b"}, {"keys", "nonsense"}, {"keys", "issue"}, {"get", "all", "-o", "xml"},
		{"get", "all", "-l", "a in"}, {"node", "--freshness-limit", "x"}, {"node", "now"}, {"get", "all", "--server", "ftp://x"},
	} {
		r := f.run(args...)
		require.Equal(t, ExitUsage, r.code, "%v: %s", args, r.errOut)
	}
	require.Contains(t, f.ok("completion", "bash"), "guavaford")
	require.Contains(t, f.ok("version"), Version)
	require.Contains(t, f.ok("--help"), "drain")
}
