package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// operator sends desired states as the pages say: to a node of the control plane, and the same order to the next one after a failure,
// until it is answered clearly.
type operator struct {
	fleet   *fleet
	client  *http.Client
	version int
	next    int
}

func newOperator(f *fleet) *operator {
	return &operator{fleet: f, client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// route is one row of the table of routes.
func route(name, prefix, kind, timeout, service string, public bool) string {
	return fmt.Sprintf(`["%s","hulo84.example","%s","%s","%s","1500ms",2,null,2,%v,"%s"]`, name, prefix, kind, timeout, public, service)
}

// document returns a desired state with the routes.
func document(version int, routes []string, services []string) string {
	var rows []string
	for _, s := range services {
		rows = append(rows, fmt.Sprintf(`["%s","/health",622,"h1",false]`, s))
	}
	return fmt.Sprintf(`{"version":"r%d","routes":{"columns":["name","authority","path-prefix","kind","timeout","target-latency","priority",`+
		`"weighted-targets","attempts","public","service"],"rows":[%s]},"services":{"columns":["name","health-path","max-conns","protocol","tls"],`+
		`"rows":[%s]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"},`+
		`"tenants":{"columns":["name","api-keys","priority","rate-per-s","burst"],"rows":[["pulo780",["6wsjnbanfqasnmgkcuyj"],1,0,0]]}}`,
		version, strings.Join(routes, ","), strings.Join(rows, ","))
}

// put sends a desired state until a call is answered clearly, and returns that status; 0 if none was within the limit.
func (o *operator) put(base int, text string, limit time.Duration) int {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		h := o.fleet.core[o.next%len(o.fleet.core)]
		req, err := http.NewRequest(http.MethodPut, "http://"+h.at(controlPort)+"/config", bytes.NewReader([]byte(text)))
		if err != nil {
			return 0
		}
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("If-Match", fmt.Sprintf("r%d", base))
		resp, err := o.client.Do(req)
		if err != nil {
			o.next++
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		switch resp.StatusCode {
		case http.StatusOK, http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
			return resp.StatusCode
		}
		o.next++
	}
	return 0
}

// change sends the next version and reports whether it was acknowledged.
func (o *operator) change(routes, services []string, limit time.Duration) bool {
	version := o.version + 1
	text := document(version, routes, services)
	status := o.put(o.version, text, limit)
	o.fleet.record.note("order r%d on r%d, %d bytes: status %d", version, o.version, len(text), status)
	if status != http.StatusOK {
		return false
	}
	o.version = version
	return true
}
