package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

// sameRouteTwice: an operator sends a desired state in which one row of the routes stands twice, with the same name, host and prefix but another
// service, as after copying a row. With the disruption off, the second row has a name and a prefix of its own.
func sameRouteTwice(rec *record, root string, trouble bool) verdict {
	services := []string{"jadual", "transkrip"}
	routes := []route{
		{Name: "lookup", Authority: prefixHost, Prefix: "/lookup/", Kind: "idempotent", Timeout: "5000ms", Target: "1200ms", Attempts: 2, Service: "jadual"},
		{Name: "roster", Authority: prefixHost, Prefix: "/roster/", Kind: "idempotent", Timeout: "5000ms", Target: "1200ms", Attempts: 2, Service: "jadual"},
		{Name: "index", Authority: prefixHost, Prefix: "/index/", Kind: "idempotent", Timeout: "5000ms", Target: "1200ms", Attempts: 2, Service: "transkrip"},
	}
	f := setup(rec, root, []string{"jadual", "transkrip"}, routes, services)
	if f == nil {
		return cannotRun
	}
	defer f.close()
	for _, m := range f.sides {
		b, err := startBackend(m, "i-"+m.service, 50, func(b *backend, c *backendConn, r *http.Request) bool {
			rec.logf("backend of %s: runs request %s (%s)", b.machine.service, r.Header.Get("Guavaford-Attempt-Id"), r.URL.Path)
			return c.answer(r, 200, []byte(b.machine.service)) == nil
		})
		if err != nil {
			rec.logf("cannot run: %v", err)
			return cannotRun
		}
		defer b.close()
	}
	time.Sleep(3 * time.Second)
	ask := func() {
		for range 3 {
			status, err := send(f.sides[0], "GET", "/lookup/x", newID(), "key-one", 5*time.Second)
			rec.logf("client: GET /lookup/x -> %d %v", status, err)
		}
	}
	ask()
	added := routes[0]
	added.Service = "transkrip"
	if !trouble {
		added.Name, added.Prefix = "lookup-2", "/lookup-2/"
	}
	doc := document("r2", append(routes, added), services, []tenant{{Name: "t1", Keys: []string{"key-one"}}})
	rec.logf("operator: sends %s", doc)
	status, _ := f.put("r1", doc, 10*time.Second)
	time.Sleep(2500 * time.Millisecond)
	ask()
	inForce := 0
	for _, m := range f.cores {
		code, body := m.getConfig()
		var read struct{ Version string }
		_ = json.Unmarshal(body, &read)
		rec.logf("operator: GET /config at %s -> %d, version %s", m.name, code, read.Version)
		if code == 200 && bytes.Equal(body, doc) {
			inForce++
		}
	}
	switch {
	case status == 0:
		rec.logf("cannot run: the document got no clear answer")
		return cannotRun
	case !trouble && status != 200:
		rec.logf("cannot run: the proper document was refused")
		return cannotRun
	case trouble && (status == 200 || inForce > 0):
		rec.logf("an invalid desired state was acknowledged (%d) and is in force at %d machines", status, inForce)
		return broken
	}
	return held
}
