package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// Limits of the server.
const (
	requestTimeout    = 4 * time.Second
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 30 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Control is the part of the control plane that the handler uses.
type Control interface {
	Propose(ctx context.Context, r *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error)
	Sync(ctx context.Context, r *apiv1.SyncRequest) (*apiv1.SyncResponse, error)
	Status(ctx context.Context) (*apiv1.ControlStatus, error)
}

// handler serves the routes of the API.
type handler struct {
	control Control
	local   LocalSource
	token   [sha256.Size]byte
	log     telemetry.Logger
}

// NewHandler returns the handler of the operators' address. The token must not be empty.
func NewHandler(control Control, token string, log telemetry.Logger, local LocalSource) http.Handler {
	if token == "" {
		panic("operator: the token must not be empty")
	}
	h := &handler{control: control, local: local, token: sha256.Sum256([]byte(token)), log: log}
	router := mux.NewRouter()
	router.HandleFunc(pathConfiguration, h.configuration).Methods(http.MethodGet)
	router.HandleFunc(pathKeys, h.keys).Methods(http.MethodGet)
	router.HandleFunc(pathChanges, h.change).Methods(http.MethodPost)
	router.HandleFunc(pathStatus, h.status).Methods(http.MethodGet)
	router.HandleFunc(pathReplicas+"{id:[0-9]+}", h.removeReplica).Methods(http.MethodDelete)
	router.HandleFunc(pathQuarantine, h.quarantined).Methods(http.MethodGet)
	router.HandleFunc(pathQuarantine+"/{fingerprint}", h.release).Methods(http.MethodDelete)
	router.Handle(pathMetrics, expvar.Handler()).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		newProblem(CodePathUnknown, "there is no %s", r.URL.Path).write(w)
	})
	router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		newProblem(CodeMethodNotAllowed, "%s does not take %s", r.URL.Path, r.Method).write(w)
	})
	return h.authenticate(router)
}

// NewServer returns a server with the time and size limits of the API.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// authenticate passes on requests that have the token, and bounds their time and body.
func (h *handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.hasToken(r) {
			h.log.Warn("operator refused", "remote", r.RemoteAddr, "method", r.Method, "path", r.URL.Path, "code", CodeTokenInvalid)
			newProblem(CodeTokenInvalid, "the request carries no valid operators' token").write(w)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// hasToken reports whether a request has the operators' token. It compares the hashes of the tokens
// in constant time, so that the time does not depend on the length either.
func (h *handler) hasToken(r *http.Request) bool {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return false
	}
	scheme, token, found := strings.Cut(values[0], " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(sum[:], h.token[:]) == 1
}

// sync gets the whole configuration from the control plane. When the control plane does not answer,
// it writes the error response and returns nil.
func (h *handler) sync(w http.ResponseWriter, r *http.Request) *apiv1.SyncResponse {
	response, err := h.control.Sync(r.Context(), &apiv1.SyncRequest{})
	if err == nil && response.GetError() != "" {
		err = errors.New(response.GetError())
	}
	if err != nil {
		newProblem(CodeControlUnavailable, "no control replica answered: %v", err).write(w)
		return nil
	}
	return response
}

// configuration returns all documents.
func (h *handler) configuration(w http.ResponseWriter, r *http.Request) {
	response := h.sync(w, r)
	if response == nil {
		return
	}
	configuration, err := configurationOf(response)
	if err != nil {
		newProblem(CodeControlUnavailable, "a control replica gave an inconsistent answer: %v", err).write(w)
		return
	}
	writeJSON(w, http.StatusOK, configuration)
}

// configurationOf builds the configuration from the response, which has a snapshot or the deltas
// since revision 0.
func configurationOf(response *apiv1.SyncResponse) (*Configuration, error) {
	var state config.State
	if snapshot := response.GetSnapshot(); snapshot != nil {
		if err := state.LoadSnapshot(snapshot); err != nil {
			return nil, err
		}
	}
	for _, delta := range response.GetDeltas() {
		if err := state.ApplyDelta(delta); err != nil {
			return nil, err
		}
	}
	configuration := &Configuration{Revision: state.Revision(), Confirmed: confirms(response, state.Revision()), Documents: []Document{}}
	for _, resource := range state.Resources() {
		configuration.Documents = append(configuration.Documents, FromResource(resource))
	}
	return configuration, nil
}

// confirms reports whether the response shows that a quorum confirmed the revision as current.
func confirms(response *apiv1.SyncResponse, revision uint64) bool {
	return response.GetVouched() && response.GetVouchedRevision() <= revision
}

// keys returns the keys of all organisations, or of one.
func (h *handler) keys(w http.ResponseWriter, r *http.Request) {
	response := h.sync(w, r)
	if response == nil {
		return
	}
	revision := response.GetSnapshot().GetRevision()
	if deltas := response.GetDeltas(); len(deltas) > 0 {
		revision = deltas[len(deltas)-1].GetRevision()
	}
	listed := keysOf(response, r.URL.Query().Get(paramOrganisation))
	writeJSON(w, http.StatusOK, &KeyList{Revision: revision, Confirmed: confirms(response, revision), Keys: listed})
}

// keysOf returns the keys of an organisation, or all keys if organisation is empty, sorted by number.
func keysOf(response *apiv1.SyncResponse, organisation string) []Key {
	keys := map[uint64]Key{}
	addKeys := func(records []*apiv1.KeyRecord) {
		for _, k := range records {
			if organisation == "" || k.GetOrganisation() == organisation {
				keys[k.GetNumber()] = Key{k.GetNumber(), k.GetOrganisation(), k.GetWithdrawn(), k.GetRevision()}
			}
		}
	}
	addKeys(response.GetSnapshot().GetKeys())
	for _, delta := range response.GetDeltas() {
		addKeys(delta.GetIssued())
		for _, number := range delta.GetWithdrawn() {
			if k, found := keys[number]; found {
				k.Withdrawn = true
				k.Revision = delta.GetRevision()
				keys[number] = k
			}
		}
	}
	return sortedKeys(keys)
}

// change reads a change and proposes it to the control plane.
func (h *handler) change(w http.ResponseWriter, r *http.Request) {
	change, problem := readChange(r.Body)
	if problem != nil {
		problem.write(w)
		return
	}
	response, err := h.control.Propose(r.Context(), &apiv1.ProposeRequest{Change: change})
	if err != nil {
		h.logChange(r, change, string(CodeChangeOutcomeUnknown), 0)
		unknownOutcome(change.GetId(), err.Error()).write(w)
		return
	}
	result := response.GetOutcome()
	h.logChange(r, change, result.GetResult().String(), result.GetRevision())
	if problem := outcomeProblem(change.GetId(), result); problem != nil {
		problem.write(w)
		return
	}
	writeJSON(w, http.StatusOK, &AcceptedChange{ID: change.GetId(), Revision: result.GetRevision(), KeyNumbers: result.GetKeyNumbers()})
}

// logChange writes the audit log line of a change.
func (h *handler) logChange(r *http.Request, change *apiv1.Change, result string, revision uint64) {
	h.log.Info("operator change", "change_id", change.GetId(), "result", enumName(result, "CHANGE_RESULT_"), "revision", revision, "remote", r.RemoteAddr,
		"upserts", len(change.GetUpserts()), "deletes", len(change.GetDeletes()),
		"issued", len(change.GetIssueKeys()), "withdrawn", len(change.GetWithdrawKeys()))
}

// readChange decodes a change and validates all that does not depend on the stored configuration.
func readChange(body io.Reader) (*apiv1.Change, *Problem) {
	var change Change
	data, err := io.ReadAll(body)
	if err == nil {
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&change)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, newProblem(CodeBodyTooLarge, "a change may have at most %d bytes", tooLarge.Limit)
	case !utf8.Valid(data):
		return nil, newProblem(CodeRequestInvalid, "the body is not UTF-8")
	case err != nil:
		return nil, newProblem(CodeRequestInvalid, "the body is not a change: %v", err)
	case !changeID.MatchString(change.ID):
		return nil, newProblem(CodeRequestInvalid, "id %q: allowed are 1 to 64 letters, digits, . _ and -", change.ID)
	case change.AnyRevision == (change.ExpectedRevision != nil):
		return nil, newProblem(CodeRequestInvalid, "exactly one of expectedRevision and anyRevision is required")
	}
	if duplicate := config.FindDuplicateField(data, "labels"); duplicate != nil {
		return nil, newProblem(CodeRequestInvalid, "%s", duplicate)
	}
	message := change.toMessage()
	if problem := duplicateNames(message); problem != nil {
		return nil, problem
	}
	var faults config.Problems
	for _, resource := range message.GetUpserts() {
		faults = append(faults, config.Canonicalise(resource)...)
	}
	if len(faults) > 0 {
		return nil, invalidConfiguration(faults.Strings())
	}
	return message, nil
}

// duplicateNames returns the problem of a change in which a document or key occurs twice, or nil. Places are counted
// from 0.
func duplicateNames(m *apiv1.Change) *Problem {
	if duplicates := config.Duplicates(m.GetUpserts()); len(duplicates) > 0 {
		return newProblem(CodeRequestInvalid, "%s", duplicates.Err())
	}
	deletes := make(map[string]int, len(m.GetDeletes()))
	for i, del := range m.GetDeletes() {
		name := del.GetKind() + "/" + del.GetName()
		if j, found := deletes[name]; found {
			return newProblem(CodeRequestInvalid, "deletes %d and %d both name %s", j, i, name)
		}
		deletes[name] = i
	}
	keys := make(map[string]int, len(m.GetIssueKeys()))
	for i, key := range m.GetIssueKeys() {
		if j, found := keys[string(key.GetHash())]; found {
			return newProblem(CodeRequestInvalid, "issued keys %d and %d are the same", j, i)
		}
		keys[string(key.GetHash())] = i
	}
	return nil
}

// invalidConfiguration returns the problem of a change that would make the configuration invalid.
func invalidConfiguration(faults []string) *Problem {
	problem := newProblem(CodeConfigurationInvalid, "the configuration would not be valid; nothing was changed")
	problem.Faults = faults
	return problem
}

// unknownOutcome returns the problem of a change whose outcome is not known.
func unknownOutcome(id, reason string) *Problem {
	problem := newProblem(CodeChangeOutcomeUnknown, "the change %s may or may not take effect; resend it with the same id (%s)", id, reason)
	problem.Applied = AppliedUnknown
	return problem
}

// outcomeProblem returns the problem of a change that was not accepted, or nil if it was.
func outcomeProblem(id string, result *apiv1.ChangeOutcome) *Problem {
	switch result.GetResult() {
	case apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED:
		return nil
	case apiv1.ChangeResult_CHANGE_RESULT_CONFLICT:
		problem := newProblem(CodeRevisionConflict, "the current revision is %d", result.GetRevision())
		problem.Revision = result.GetRevision()
		return problem
	case apiv1.ChangeResult_CHANGE_RESULT_INVALID:
		return invalidConfiguration(result.GetProblems())
	case apiv1.ChangeResult_CHANGE_RESULT_ID_REUSED:
		problem := newProblem(CodeChangeIDReused, "the change id %s was used for another change", id)
		problem.Revision = result.GetRevision()
		return problem
	case apiv1.ChangeResult_CHANGE_RESULT_UNAVAILABLE:
		return newProblem(CodeControlUnavailable, "no quorum of control replicas at the moment; nothing was changed")
	default:
		return unknownOutcome(id, "no quorum confirmed it in time")
	}
}

// Membership changes the set of control replicas. A Control implements it when its process runs a
// control replica.
type Membership interface {
	HandleMembership(ctx context.Context, r *apiv1.ControlRequest) (*apiv1.ControlReply, error)
}

// removeReplica removes a control replica from the membership for good.
func (h *handler) removeReplica(w http.ResponseWriter, r *http.Request) {
	membership, ok := h.control.(Membership)
	if !ok {
		newProblem(CodeControlUnavailable, "this node has no control replica; ask one that has").write(w)
		return
	}
	id, err := strconv.ParseUint(mux.Vars(r)["id"], 10, 64)
	if err != nil || id == 0 {
		newProblem(CodeRequestInvalid, "%q is not the id of a replica", mux.Vars(r)["id"]).write(w)
		return
	}
	reply, err := membership.HandleMembership(r.Context(), &apiv1.ControlRequest{Remove: id})
	h.log.Info("operator removes replica", "replica", id, "remote", r.RemoteAddr, "refused", reply.GetError(), "err", err)
	switch {
	case err != nil:
		newProblem(CodeControlUnavailable, "the leader did not answer: %v", err).write(w)
	case reply.GetError() != "":
		newProblem(CodeMembershipRefused, "%s", reply.GetError()).write(w)
	default:
		writeJSON(w, http.StatusOK, &RemovedReplica{ID: id})
	}
}

// status returns the status of the fleet and of this node.
func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	status := &Status{Node: h.local.LocalStatus()}
	control, err := h.control.Status(r.Context())
	if err != nil {
		status.ControlError = err.Error()
	} else {
		status.Control = controlStatus(control)
	}
	writeJSON(w, http.StatusOK, status)
}
