package faultsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/headers"
)

// Timing of targets.
const (
	targetSlots   = 20
	workTime      = 5 * time.Millisecond
	renewInterval = time.Second
	// leaveTimeout is the time after which a target that announced that it leaves must get no new requests.
	leaveTimeout = 3 * time.Second
)

// Names of services and organisations in the soak's configuration.
const (
	frontService = "front"
	backService  = "back"
	coldService  = "cold"
	homeRegion   = "home"
	awayRegion   = "away"
	// coldStart is how long a target of the cold service is cold after its start.
	coldStart = 3 * time.Second
)

// target is a target on the host of one node.
type target struct {
	name, service string
	node          *node
	recorder      *Recorder
	server        *http.Server
	// proxy forwards from the node to the target.
	proxy *Proxy
	// instance identifies this run of the target in its announcements.
	instance string
	// leftAt is when the target announced that it leaves, in Unix nanoseconds, or 0.
	leftAt    atomic.Int64
	evacuated *evacuated
	cold      cold
	// announcing is held while an announcement is on the way, so that none overtakes another.
	announcing sync.Mutex
}

// startTarget starts a target, which serves requests and renews its announcement until ctx ends.
func startTarget(ctx context.Context, name, service string, n *node, recorder *Recorder, e *evacuated) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "target")
	}
	t := &target{name: name, service: service, node: n, recorder: recorder, instance: fmt.Sprint(time.Now().UnixNano()), evacuated: e}
	if service == coldService {
		t.cold.begin(time.Now(), coldStart)
	}
	if t.proxy, err = NewProxy(listener.Addr().String()); err != nil {
		return nil, err
	}
	// A delay between a node and a cold target would let requests arrive together that were sent at the allowed rate.
	if service != coldService {
		n.targetProxies = append(n.targetProxies, t.proxy)
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(listener) }()
	go func() {
		for ctx.Err() == nil {
			t.announce(ctx)
			clock.Sleep(ctx, renewInterval)
		}
		_ = t.server.Close()
	}()
	return t, nil
}

// announce announces the target to its node and reports whether that was accepted. It is renewed soon.
func (t *target) announce(ctx context.Context) bool {
	t.announcing.Lock()
	defer t.announcing.Unlock()
	state := "ready"
	if t.leftAt.Load() != 0 {
		state = "leaving"
	}
	fields := map[string]any{
		"service": t.service, "address": t.proxy.Address(), "slots": targetSlots, "state": state, "instance": t.instance,
	}
	until := t.cold.end()
	if left := time.Until(until); left > 0 {
		fields["cold_left_ms"] = left.Milliseconds() + 1
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic("announcements always marshal: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, 2*renewInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+t.node.targets+"/targets/"+t.name, bytes.NewReader(body))
	if err != nil {
		panic("the announcement's address is valid: " + err.Error())
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	t.cold.told(until)
	return true
}

// becomeCold makes the target cold for a time and tells its node at once.
func (t *target) becomeCold(d time.Duration) {
	t.cold.begin(time.Now(), d)
	t.announce(context.Background())
}

// leave announces that the target leaves. It still serves requests.
func (t *target) leave(ctx context.Context) {
	t.leftAt.Store(time.Now().UnixNano())
	t.announce(ctx)
}

// ServeHTTP runs a request: /book/ID, /look/ID, /limited/ID, /upload/ID, /home/ID, /cold/ID or /inner/ID. Before it answers, a target of
// the front service makes a sub-call to the back service for /book and /look.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if left := t.leftAt.Load(); left != 0 && time.Since(time.Unix(0, left)) > leaveTimeout {
		t.recorder.RecordRunAfterLeave(t.name)
	}
	now := time.Now()
	if after, ok := t.evacuated.overdue(t.node.dataCentre, now); ok && t.node.touch.has(now) {
		t.recorder.RecordEvacuatedRun(t.name, after)
	}
	kind, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch kind {
	case "book":
		t.recorder.RecordRun(id)
	case "limited":
		t.recorder.RecordLimitedRun(now)
	case "upload":
		t.recorder.RecordRun(id)
		if err := t.readUpload(r, id); err != nil {
			return
		}
	case "home":
		t.recorder.RecordHomeRun(id, t.name, region(t.node.dataCentre))
	case "cold":
		if t.cold.counts(now) {
			t.recorder.RecordColdRun(t.name, now)
		}
	}
	time.Sleep(workTime)
	if kind == "book" || kind == "look" {
		if err := t.callBackService(r, id); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	_, _ = io.WriteString(w, answerTo(id))
}

// answerTo returns the answer to the request with an id.
func answerTo(id string) string { return "answer to " + id }

// callBackService makes a sub-call to the back service through the node.
func (t *target) callBackService(parent *http.Request, id string) error {
	req, err := http.NewRequestWithContext(parent.Context(), http.MethodGet, "http://"+t.node.targets+"/call/"+backService+"/inner/"+id, nil)
	if err != nil {
		return err
	}
	req.Header.Set(headers.Handle, parent.Header.Get(headers.Handle))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return errors.Errorf("call: status %d, %v", resp.StatusCode, err)
	}
	if string(body) != answerTo(id) {
		t.recorder.WrongAnswer("the call of "+id, string(body))
	}
	return nil
}
