package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// renewInterval is the time between two announcements that a target sends.
const renewInterval = time.Second

// Target is a small HTTP server that announces itself to a node.
type Target struct {
	server  *http.Server
	address string
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// announcement is the JSON body with which a target announces itself to its node; see docs/TARGETS.md.
type announcement struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Slots    int    `json:"slots"`
	Instance string `json:"instance"`
}

// AddTarget starts a target beside a node, announces it and keeps its announcement renewed. The handler serves its
// requests.
func (f *Fleet) AddTarget(ctx context.Context, beside int, name, service string, slots int, handler http.Handler) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a target")
	}
	t := &Target{server: &http.Server{Handler: handler}, address: listener.Addr().String()}
	t.running.Go(func() { _ = t.server.Serve(listener) })
	renewing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t.cancel = cancel
	url := "http://" + f.settings[beside].TargetsAddress + "/targets/" + name
	body := announcement{Service: service, Address: t.address, Slots: slots, Instance: "1"}
	if err := announce(ctx, url, body); err != nil {
		t.stop()
		return nil, err
	}
	t.running.Go(func() { renew(renewing, url, body) })
	f.targets = append(f.targets, t)
	return t, nil
}

// URL returns the URL at which the target serves requests without a node between.
func (t *Target) URL() string { return "http://" + t.address }

func (t *Target) stop() {
	t.cancel()
	_ = t.server.Close()
	t.running.Wait()
}

func renew(ctx context.Context, url string, body announcement) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = announce(ctx, url, body)
		}
	}
}

func announce(ctx context.Context, url string, body announcement) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return errors.Errorf("announce: %s: %s", resp.Status, text)
	}
	return nil
}

// Echo answers each request with its body.
func Echo(w http.ResponseWriter, r *http.Request) {
	// Without full duplex, net/http drops the part of the body that is unread when the answer begins.
	_ = http.NewResponseController(w).EnableFullDuplex()
	if r.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	_, _ = io.Copy(w, r.Body)
}
