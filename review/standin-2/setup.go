package main

import "time"

// setup starts a fleet with one sidecar machine for each service of sides, and brings the first desired state into force. It returns nil if that fails.
func setup(rec *record, root string, sides []string, routes []route, services []string) *fleet {
	f, err := newFleet(rec, root, sides)
	if err != nil {
		rec.logf("cannot run: %v", err)
		return nil
	}
	if err := f.startAll(); err != nil {
		rec.logf("cannot run: %v", err)
		f.close()
		return nil
	}
	doc := document("r1", routes, services, []tenant{{Name: "t1", Keys: []string{"key-one"}, Rate: 0}})
	if status, _ := f.put("r0", doc, 30*time.Second); status != 200 || f.awaitReady(20*time.Second) != nil {
		rec.logf("cannot run: no confirmation")
		f.close()
		return nil
	}
	return f
}
