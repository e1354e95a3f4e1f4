package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/quarantine"
	"github.com/guavaford/guavaford/internal/telemetry"
)

const testToken = "0123456789abcdef0123456789abcdef"

// scriptedControl answers each change with a fixed outcome or error. Its other methods fail.
type scriptedControl struct {
	outcome *apiv1.ChangeOutcome
	err     error
	calls   int
}

func (s *scriptedControl) Propose(context.Context, *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	s.calls++
	return &apiv1.ProposeResponse{Outcome: s.outcome}, s.err
}

func (s *scriptedControl) Sync(context.Context, *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	return nil, errors.New("control plane is unavailable")
}

func (s *scriptedControl) Status(context.Context) (*apiv1.ControlStatus, error) {
	return nil, errors.New("control plane is unavailable")
}

func (s *scriptedControl) LocalStatus() NodeStatus { return NodeStatus{Name: "n1"} }

// send sends a request to a handler that uses the control and returns the response.
func send(control *scriptedControl, authorization, method, path, body string) *httptest.ResponseRecorder {
	h := NewHandler(control, testToken, telemetry.Discard(), control)
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// problemOf decodes the problem document of a response.
func problemOf(t *testing.T, w *httptest.ResponseRecorder) Problem {
	t.Helper()
	require.Equal(t, "application/problem+json", w.Header().Get("Content-Type"))
	var p Problem
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
	require.Equal(t, w.Code, p.Status)
	return p
}

// TestEveryPathNeedsTheToken guards against a path, including those of metrics and profiles, that
// answers without the exact token.
func TestEveryPathNeedsTheToken(t *testing.T) {
	control := &scriptedControl{}
	for _, path := range []string{pathConfiguration, pathKeys, pathChanges, pathStatus, pathMetrics, "/", "/debug/pprof/"} {
		for _, authorization := range []string{"", "Bearer", "Bearer x", "Bearer " + testToken + "x", "Bearer " + testToken[1:], "Basic " + testToken} {
			w := send(control, authorization, http.MethodPost, path, "{}")
			require.Equal(t, CodeTokenInvalid, problemOf(t, w).Code, "%s %s", path, authorization)
			require.NotEmpty(t, w.Header().Get("WWW-Authenticate"))
		}
	}
	require.Equal(t, http.StatusOK, send(control, "Bearer "+testToken, http.MethodGet, pathMetrics, "").Code)
	require.Zero(t, control.calls)
}

// TestFaultyRequestsReachNoReplica guards against invalid changes that are proposed to the control plane.
func TestFaultyRequestsReachNoReplica(t *testing.T) {
	for body, code := range map[string]Code{
		`{`:                               CodeRequestInvalid,
		`{"id":"a b","anyRevision":true}`: CodeRequestInvalid,
		`{"id":"a"}`:                      CodeRequestInvalid,
		"{\"id\":\"a\",\"anyRevision\":true,\"upserts\":[{\"kind\":\"Organisation\",\"name\":\"\xff\",\"spec\":{}}]}": CodeRequestInvalid,
		`{"id":"a","anyRevision":true,"surprise":1}`:                                                                  CodeRequestInvalid,
		`{"id":"a","anyRevision":true,"expectedRevision":0}`:                                                          CodeRequestInvalid,
		`{"id":"` + strings.Repeat("a", MaxBodyBytes) + `"}`:                                                          CodeBodyTooLarge,
		`{"id":"a","anyRevision":true,"upserts":[{"kind":"Class","name":"c","spec":{"priority":99}}]}`:                CodeConfigurationInvalid,
	} {
		control := &scriptedControl{}
		p := problemOf(t, send(control, "Bearer "+testToken, http.MethodPost, pathChanges, body))
		require.Equal(t, code, p.Code, body[:min(len(body), 80)])
		require.Equal(t, AppliedNo, p.Applied)
		require.Zero(t, control.calls)
	}
	require.Equal(t, CodePathUnknown, problemOf(t, send(&scriptedControl{}, "Bearer "+testToken, http.MethodGet, "/v2", "")).Code)
	require.Equal(t, CodeMethodNotAllowed, problemOf(t, send(&scriptedControl{}, "Bearer "+testToken, http.MethodPut, pathChanges, "")).Code)
}

// TestChangeWithANameTwiceIsRefused guards against a change of which one part is dropped without notice. It must get 400 with
// both places, before anything is proposed.
func TestChangeWithANameTwiceIsRefused(t *testing.T) {
	for body, want := range map[string]string{
		`"upserts":[{"kind":"Class","name":"c","spec":{"priority":1}},{"kind":"Class","name":"c","spec":{"priority":2}}]`: "Class/c: name: occurs twice, as documents 0 and 1 of the change",
		`"upserts":[{"kind":"Class","name":"c","spec":{"priority":1,"priority":2}}]`:                                      "upserts[0].spec.priority occurs twice, at bytes ",
		`"upserts":[{"kind":"Class","name":"c","labels":{"a":"1","a":"2"},"spec":{"priority":1}}]`:                        "upserts[0].labels.a occurs twice, at bytes ",
		`"upserts":[],"upserts":[{"kind":"Class","name":"c","spec":{"priority":1}}]`:                                      "upserts occurs twice, at bytes ",
		`"deletes":[{"kind":"Class","name":"c"},{"kind":"Rate","name":"c"},{"kind":"Class","name":"c"}]`:                  "deletes 0 and 2 both name Class/c",
		`"issueKeys":[{"organisation":"a","hash":"aGFzaA=="},{"organisation":"b","hash":"aGFzaA=="}]`:                     "issued keys 0 and 1 are the same",
	} {
		control := &scriptedControl{}
		w := send(control, "Bearer "+testToken, http.MethodPost, pathChanges, `{"id":"a","anyRevision":true,`+body+`}`)
		p := problemOf(t, w)
		require.Equal(t, http.StatusBadRequest, w.Code, body)
		require.Equal(t, CodeRequestInvalid, p.Code, body)
		require.Contains(t, p.Detail, want)
		require.Equal(t, AppliedNo, p.Applied)
		require.Zero(t, control.calls)
	}
}

// TestOutcomesOfChanges guards against outcomes that are reported with the wrong code, or as not applied
// when that is not known.
func TestOutcomesOfChanges(t *testing.T) {
	const change = `{"id":"a","expectedRevision":3,"deletes":[{"kind":"Class","name":"c"}]}`
	for _, c := range []struct {
		control *scriptedControl
		code    Code
		applied Applied
	}{
		{&scriptedControl{outcome: &apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_CONFLICT, Revision: 9}}, CodeRevisionConflict, AppliedNo},
		{&scriptedControl{outcome: &apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_INVALID}}, CodeConfigurationInvalid, AppliedNo},
		{&scriptedControl{outcome: &apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_ID_REUSED}}, CodeChangeIDReused, AppliedNo},
		{&scriptedControl{outcome: &apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE}}, CodeControlUnavailable, AppliedNo},
		{&scriptedControl{outcome: &apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_UNKNOWN}}, CodeChangeOutcomeUnknown, AppliedUnknown},
		{&scriptedControl{outcome: &apiv1.ChangeOutcome{}}, CodeChangeOutcomeUnknown, AppliedUnknown},
		{&scriptedControl{err: errors.New("connection lost")}, CodeChangeOutcomeUnknown, AppliedUnknown},
	} {
		p := problemOf(t, send(c.control, "Bearer "+testToken, http.MethodPost, pathChanges, change))
		require.Equal(t, c.code, p.Code)
		require.Equal(t, c.applied, p.Applied, c.code)
		require.Equal(t, c.control.outcome.GetResult() == apiv1.ChangeResult_CHANGE_RESULT_CONFLICT, p.Revision == 9)
	}
}

// FuzzReadChange guards against bodies that cause a panic, and against accepted changes that can't be
// encoded for the control plane.
func FuzzReadChange(f *testing.F) {
	f.Add([]byte(`{"id":"a","anyRevision":true,"upserts":[{"kind":"Class","name":"c","spec":{"priority":9}}]}`))
	f.Add([]byte(`{"id":"a","expectedRevision":0,"issueKeys":[{"organisation":"o","hash":"AAAA"}],"withdrawKeys":[1]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		change, problem := readChange(bytes.NewReader(body))
		require.True(t, (change == nil) != (problem == nil))
		if change != nil {
			_, err := proto.Marshal(change)
			require.NoError(t, err)
		}
	})
}

// TestStatusAnswersWithoutControl guards against a status that is missing when the control plane is
// unavailable.
func TestStatusAnswersWithoutControl(t *testing.T) {
	w := send(&scriptedControl{}, "Bearer "+testToken, http.MethodGet, pathStatus, "")
	require.Equal(t, http.StatusOK, w.Code)
	require.Contains(t, w.Body.String(), "control plane is unavailable")
	require.Equal(t, CodeControlUnavailable, problemOf(t, send(&scriptedControl{}, "Bearer "+testToken, http.MethodGet, pathConfiguration, "")).Code)
}

// Quarantine returns one quarantined request.
func (s *scriptedControl) Quarantine() []QuarantinedRequest {
	return []QuarantinedRequest{{Fingerprint: strings.Repeat("ab", quarantine.FingerprintSize), Service: "s", Level: "quarantined", Crashes: 3}}
}

// Release knows the request that Quarantine returns.
func (s *scriptedControl) Release(f quarantine.Fingerprint) bool { return f[0] == 0xab }

// TestQuarantineRoutes guards against a list that can't be read, and a release that reports success for a request that the node does not know.
func TestQuarantineRoutes(t *testing.T) {
	h := NewHandler(&scriptedControl{}, "token", telemetry.Discard(), &scriptedControl{})
	ask := func(method, path string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, nil)
		r.Header.Set("Authorization", "Bearer token")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}
	w := ask(http.MethodGet, pathQuarantine)
	require.Equal(t, http.StatusOK, w.Code)
	require.Contains(t, w.Body.String(), `"level":"quarantined"`)
	require.Equal(t, http.StatusOK, ask(http.MethodDelete, pathQuarantine+"/"+strings.Repeat("ab", quarantine.FingerprintSize)).Code)
	require.Equal(t, http.StatusNotFound, ask(http.MethodDelete, pathQuarantine+"/"+strings.Repeat("cd", quarantine.FingerprintSize)).Code)
	require.Equal(t, http.StatusBadRequest, ask(http.MethodDelete, pathQuarantine+"/abc").Code)
}
