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

// Intervals and timeouts of announcements.
const (
	renewInterval   = time.Second
	announceTimeout = 2 * time.Second
)

// announcement is the JSON body by which a target registers with its node; see docs/TARGETS.md.
type announcement struct {
	Service  string            `json:"service"`
	Address  string            `json:"address"`
	Labels   map[string]string `json:"labels,omitempty"`
	Slots    int               `json:"slots"`
	State    string            `json:"state"`
	Instance string            `json:"instance"`
}

// announcer renews the announcement of a target before it expires at the node.
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

// run renews the announcement in the background until ctx is cancelled, and then closes the returned channel.
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

// announce sends the announcement with the given state. A failure is logged; the next renewal is the retry.
func (a *announcer) announce(ctx context.Context, state string) {
	body := a.body
	body.State = state
	data, err := json.Marshal(body)
	if err != nil {
		panic("encode the announcement: " + err.Error())
	}
	if err := a.send(ctx, http.MethodPut, data); err != nil {
		a.log.Warn("announcement failed", "name", a.options.name, "err", err)
	}
}

// withdraw deletes the announcement from the node.
func (a *announcer) withdraw(ctx context.Context) {
	if err := a.send(ctx, http.MethodDelete, nil); err != nil {
		a.log.Warn("announcement not withdrawn", "name", a.options.name, "err", err)
	}
}

// send sends one request to the path of this target at the node.
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
