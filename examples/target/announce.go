package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/telemetry"
)

// Timing of announcements.
const (
	renewInterval   = time.Second
	announceTimeout = 2 * time.Second
)

// announcement is what a target tells its node; see docs/TARGETS.md.
type announcement struct {
	Service  string            `json:"service"`
	Address  string            `json:"address"`
	Labels   map[string]string `json:"labels,omitempty"`
	Slots    int               `json:"slots"`
	State    string            `json:"state"`
	Instance string            `json:"instance"`
}

// announcer keeps the announcement of a target alive.
type announcer struct {
	options *options
	body    announcement
	log     telemetry.Logger
}

// newAnnouncer returns an announcer for a target that serves at address.
func newAnnouncer(o *options, address string, log telemetry.Logger) *announcer {
	return &announcer{
		options: o,
		body: announcement{
			Service:  o.service,
			Address:  address,
			Labels:   o.labels,
			Slots:    o.slots,
			Instance: strconv.FormatInt(time.Now().UnixNano(), 36),
		},
		log: log,
	}
}

// run renews the announcement until ctx ends; the returned channel is closed then.
func (a *announcer) run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			a.announce(ctx, "ready")
			select {
			case <-time.After(renewInterval):
			case <-ctx.Done():
			}
		}
	}()
	return done
}

// announce sends the announcement with a state.
func (a *announcer) announce(ctx context.Context, state string) {
	body := a.body
	body.State = state
	data, err := json.Marshal(body)
	if err != nil {
		panic("announcements always marshal: " + err.Error())
	}
	if err := a.send(ctx, http.MethodPut, data); err != nil {
		a.log.Warn("announcement failed", "name", a.options.name, "err", err)
	}
}

// leave takes the announcement back.
func (a *announcer) leave(ctx context.Context) {
	if err := a.send(ctx, http.MethodDelete, nil); err != nil {
		a.log.Warn("leave failed", "name", a.options.name, "err", err)
	}
}

// send makes one request about this target to the node.
func (a *announcer) send(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := a.options.node + "/targets/" + a.options.name
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("the node answered %s", resp.Status)
	}
	return nil
}
