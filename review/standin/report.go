package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// reportChanges is the number of desired states that follow the report, reportGap the time between two.
	reportChanges = 4
	reportGap     = 6 * time.Second
	// configApply is the bound config-apply; late requests are sent this much after it.
	configApply = 2 * time.Second
	lateMargin  = 500 * time.Millisecond
	// unreadableID is the id of a report whose bytes are no text, as it stands in the path.
	unreadableID = "%ff%fe"
)

// runReport sends a liveness report with an id that can't be read to one machine, and then changes the desired state.
func runReport(env *environment) int {
	f, err := newFleet(env.program, env.folder, 5, []string{"huvo11a", "huvo11a", "kafi81c"}, env.record)
	if err != nil {
		env.record.note("fleet: %v", err)
		return notRun
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		env.record.note("start: %v", err)
		return notRun
	}
	for _, h := range f.sides {
		b, err := startBackend(h, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Guavaford-Response-Signature", "sig-"+r.Header.Get("Guavaford-Attempt-Id"))
			fmt.Fprint(w, h.service)
		})
		if err != nil {
			env.record.note("backend: %v", err)
			return notRun
		}
		defer b.close()
	}
	o := newOperator(f)
	services := []string{"huvo11a", "kafi81c"}
	// Each version drops the route of the version before and adds one.
	routes := func(n int) []string {
		return []string{
			route("r-main", "/leny950/", "idempotent", "6000ms", "kafi81c", false),
			route(fmt.Sprintf("r-v%d", n), fmt.Sprintf("/version%d/", n), "idempotent", "6000ms", "kafi81c", false),
		}
	}
	if !eventually(30*time.Second, func() bool { return o.change(routes(0), services, 5*time.Second) }) {
		env.record.note("the first desired state is not accepted")
		return notRun
	}
	ask := func(h *host, path, id string) outcome {
		c := &client{address: h.at(outboundPort)}
		defer c.close()
		env.record.note("sent %s %s to %s", id, path, h.name)
		got := c.send(http.MethodGet, "hulo84.example", path, id, 3*time.Second)
		env.record.note("answered %s: status %d %q, err %v", id, got.status, got.body, got.err)
		return got
	}
	for i, h := range f.sides {
		if !eventually(20*time.Second, func() bool {
			return isReady(h) && ask(h, "/version0/x", fmt.Sprintf("first-%d", i)).status == http.StatusOK
		}) {
			return notRun
		}
	}
	time.Sleep(4 * time.Second)
	if env.trouble {
		h := f.sides[0]
		text := fmt.Sprintf(`{"address":"%s","born":%d,"info":{"service":"%s","version":"v1","zone":"%s","slots":87},"status":{"state":"ready","sequence":1,"cold-left":"0ms"}}`,
			h.at(appPort), time.Now().UnixMilli(), h.service, h.zone)
		req, err := http.NewRequest(http.MethodPut, "http://"+h.at(controlPort)+"/instances/"+unreadableID, strings.NewReader(text))
		if err != nil {
			return notRun
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := (&http.Client{Timeout: time.Second}).Do(req)
		if err != nil {
			env.record.note("report: %v", err)
			return notRun
		}
		_ = resp.Body.Close()
		env.record.note("report of another writer, id %s, to %s: status %d", unreadableID, h.name, resp.StatusCode)
	}
	var stale atomic.Int64
	for n := 1; n <= reportChanges; n++ {
		if !o.change(routes(n), services, 10*time.Second) {
			env.record.note("change %d is not acknowledged within 10 s", n)
			return notRun
		}
		env.record.note("r%d is acknowledged", o.version)
		time.Sleep(configApply + lateMargin)
		for i, h := range f.sides {
			added := ask(h, fmt.Sprintf("/version%d/x", n), fmt.Sprintf("added-%d-%d", n, i))
			dropped := ask(h, fmt.Sprintf("/version%d/x", n-1), fmt.Sprintf("dropped-%d-%d", n, i))
			if added.status == http.StatusNotFound || dropped.status == http.StatusOK {
				env.record.note("%s handles requests as only a version before r%d allows", h.name, o.version)
				stale.Add(1)
			}
		}
		time.Sleep(reportGap - configApply - lateMargin)
	}
	env.record.note("%d times a machine was behind later than config-apply", stale.Load())
	if stale.Load() > 0 {
		return broken
	}
	return held
}
