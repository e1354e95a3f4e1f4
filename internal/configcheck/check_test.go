package configcheck

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
)

// base is a configuration without findings; cases add documents to it or replace parts of it.
const base = `
{kind: Organisation, name: court, labels: {size: large}}
---
{kind: Rate, name: large, spec: {selector: size=large, perSecond: 100, burst: 20}}
---
{kind: Class, name: normal, spec: {selector: "!odd", priority: 5}}
---
{kind: Route, name: schedule, spec: {service: jadual, pathPrefix: /jadual, timeout: 2s}}
---
{kind: Target, name: jadual, spec: {service: jadual, slots: 10}}
`

// parse returns the documents of a YAML text.
func parse(t *testing.T, text string) []*apiv1.Resource {
	t.Helper()
	resources, problems := config.Parse("x.yaml", []byte(text))
	require.NoError(t, problems.Err())
	return resources
}

// known returns a target that was announced.
func known(service, name string, slots int) Target {
	return Target{Service: service, Name: name, Slots: slots, Labels: config.WithReservedLabels(map[string]string{"rack": "r1"}, "n1", "kl", name)}
}

// found returns findings as "code kind/name field".
func found(all []Finding) []string {
	list := []string{}
	for _, f := range all {
		list = append(list, string(f.Code)+" "+f.Kind+"/"+f.Name+" "+f.Field)
	}
	return list
}

// TestFindings guards against a kind of finding that is no longer found, or is found at another place or together with
// others. Each case adds to the base configuration, or replaces a part of it.
func TestFindings(t *testing.T) {
	for name, c := range map[string]struct {
		// old is replaced by text; text is added as documents where old is empty.
		old, text string
		input     Input
		want      []string
		message   string
	}{
		"nothing": {},
		"organisation without a rate": {
			old: "{size: large}}\n", text: "{size: huge}}\n",
			want: []string{"conflict Organisation/court labels", "conflict Rate/large spec.selector"},
		},
		"policy of an unknown service": {
			text: "{kind: Target, name: x, spec: {service: nothing, slots: 1}}",
			want: []string{"conflict Target/x spec.service"}, message: "no Route leads to service",
		},
		"same requests": {
			text: "{kind: Route, name: zz, spec: {service: jadual, pathPrefix: /jadual/}}",
			want: []string{"conflict Route/zz spec.pathPrefix"}, message: "Route schedule accepts the same requests",
		},
		"longer and shorter prefixes and hosts": {
			text: "{kind: Route, name: a, spec: {service: jadual, pathPrefix: /jadual/x/}}\n---\n{kind: Route, name: b, spec: {service: jadual}}\n---\n" +
				"{kind: Route, name: c, spec: {service: jadual, host: a.example}}\n---\n{kind: Route, name: d, spec: {service: jadual, pathPrefix: /s/, requireSlash: true}}",
		},
		"host in upper case": {
			text: "{kind: Route, name: a, labels: {odd: x}, spec: {service: jadual, host: 'FE80::1'}}\n---\n{kind: Class, name: odd, spec: {selector: odd, priority: 1}}",
			want: []string{"class-unused Class/odd spec.selector", "route-shadowed Route/a spec.host"}, message: "none reaches the routes",
		},
		"internal routes that differ in their host": {
			text: "{kind: Route, name: a, spec: {service: jadual, internal: true}}\n---\n{kind: Route, name: b, spec: {service: jadual, internal: true, host: a.example}}",
			want: []string{"host-ignored Route/b spec.host", "route-shadowed Route/b spec.pathPrefix"},
		},
		"internal routes that share some methods": {
			text: "{kind: Route, name: a, spec: {service: jadual, internal: true, methods: [GET]}}\n---\n" +
				"{kind: Route, name: b, spec: {service: jadual, internal: true, host: a.example, methods: [GET, POST]}}",
			want: []string{"host-ignored Route/b spec.host", "route-partly-shadowed Route/b spec.pathPrefix"},
		},
		"internal split behind another internal route": {
			text: "{kind: Route, name: a, spec: {service: jadual, internal: true}}\n---\n" +
				"{kind: Route, name: b, spec: {internal: true, split: [{service: jadual, weight: 1}]}}",
			want: []string{"route-shadowed Route/b spec.pathPrefix"}, message: "Route a gets them",
		},
		"optional class and rate that match nothing": {
			text: "{kind: Class, name: c, spec: {selector: odd, priority: 1, optional: true}}\n---\n{kind: Rate, name: r, spec: {selector: size=s, perSecond: 1, burst: 1, optional: true}}",
		},
		"selectors that match no labels": {
			text: "{kind: Class, name: c, spec: {selector: 'odd,!odd', priority: 1, optional: true}}\n---\n" +
				"{kind: Rate, name: r, spec: {selector: 'size in (a,b),size notin (b),size!=a', perSecond: 1, burst: 1, optional: true}}\n---\n" +
				"{kind: Route, name: x, spec: {service: jadual, pathPrefix: /x, targets: 'rack=r1,rack=r2'}}\n---\n" +
				"{kind: Target, name: t, spec: {service: jadual, selector: 'rack=r1,!rack', slots: 1}}",
			want: []string{
				"selector-contradiction Class/c spec.selector", "selector-contradiction Rate/r spec.selector",
				"selector-contradiction Route/x spec.targets", "selector-contradiction Target/t spec.selector",
			},
		},
		"keys are not known": {input: Input{}},
		"organisation without a key": {
			input: Input{KeysKnown: true, IssuedKeys: map[string]bool{"other": true}},
			want:  []string{"organisation-without-key Organisation/court spec.keyDigests"},
		},
		"organisation with an issued key": {input: Input{KeysKnown: true, IssuedKeys: map[string]bool{"court": true}}},
		"organisation with a key in its document": {
			old: "{size: large}}\n", text: "{size: large}, spec: {keyDigests: [" + strings.Repeat("ab", 32) + "]}}\n", input: Input{KeysKnown: true},
		},
		"regions without a common one": {
			old: "{size: large}}\n", text: "{size: large}, spec: {regions: [east]}}\n---\n{kind: Route, name: w, spec: {service: jadual, pathPrefix: /w, regions: [west]}}\n",
			want: []string{"route-without-organisation Route/w spec.regions"},
		},
		"organisation that no route serves": {
			old: "timeout: 2s}}", text: "timeout: 2s, regions: [west]}}\n---\n{kind: Organisation, name: far, labels: {size: large}, spec: {regions: [east]}}",
			want: []string{"organisation-without-route Organisation/far spec.regions"},
		},
		"organisation while all routes are open": {
			old: "timeout: 2s}}", text: "open: true}}", want: []string{"organisation-without-route Organisation/court "},
		},
		"listed service without a route": {
			input: Input{Services: []string{"jadual", "premis"}},
			want:  []string{"service-without-route Target/premis spec.service"},
		},
		"service without targets": {
			input: Input{TargetsKnown: true, Targets: []Target{known("premis", "p", 1)}},
			want:  []string{"service-without-targets Route/schedule spec.service"},
		},
		"share of a service without targets": {
			text:  "{kind: Route, name: s, spec: {pathPrefix: /s, split: [{service: jadual, weight: 1}, {service: new, weight: 1}, {service: later, weight: 0}]}}",
			input: Input{TargetsKnown: true, Targets: []Target{known("jadual", "j", 1)}},
			want:  []string{"service-without-targets Route/s spec.split"}, message: "service new has no targets",
		},
		"service whose targets are drained by one document": {
			text: "{kind: Target, name: d, spec: {service: '*', drain: true}}",
			want: []string{"service-drained Route/schedule spec.service"},
		},
		"service in a drained data centre": {
			text:  "{kind: DataCentre, name: kl, spec: {drain: true}}",
			input: Input{TargetsKnown: true, Targets: []Target{known("jadual", "j", 1)}},
			want:  []string{"service-drained Route/schedule spec.service"},
		},
		"targets of a route that do not run": {
			old: "timeout: 2s}}", text: "timeout: 2s, targets: rack=r9}}",
			input: Input{TargetsKnown: true, Targets: []Target{known("jadual", "j", 1)}},
			want:  []string{"route-without-targets Route/schedule spec.targets"},
		},
		"policies of targets that do not run": {
			text: "{kind: Target, name: a, spec: {service: jadual, target: j9, slots: 1}}\n---\n{kind: Target, name: b, spec: {service: jadual, selector: rack=r9, slots: 1}}\n---\n" +
				"{kind: Target, name: c, spec: {service: jadual, target: j, slots: 1}}",
			input: Input{TargetsKnown: true, Targets: []Target{known("jadual", "j", 1)}},
			want:  []string{"policy-without-target Target/a spec.target", "policy-without-target Target/b spec.selector"},
		},
		"policy that each service replaces": {
			text: "{kind: Target, name: all, spec: {service: '*', slots: 5}}", want: []string{"policy-overridden Target/all spec.service"},
		},
		"policy that no service replaces in full": {text: "{kind: Target, name: all, spec: {service: '*', slots: 5, coldStart: 1s}}"},
		"health path without a cold rate": {
			old: "slots: 10}", text: "slots: 10, healthPath: /h}", want: []string{"health-path-unused Target/jadual spec.healthPath"},
		},
		"health path with a cold rate of every service": {
			old: "slots: 10}}", text: "slots: 10, healthPath: /h}}\n---\n{kind: Target, name: cold, spec: {service: '*', coldPerSecond: 1}}",
		},
		"slots above the connections": {
			old: "slots: 10}", text: "slots: 10, maxConnections: 9}", want: []string{"slots-above-connections Target/jadual spec.slots"},
		},
		"slots above the connections of every service": {
			text: "{kind: Target, name: all, spec: {service: '*', maxConnections: 9}}", want: []string{"slots-above-connections Target/jadual spec.slots"},
		},
		"goal above the timeout": {
			old: "timeout: 2s", text: "timeout: 2s, goal: 2001ms", want: []string{"goal-above-timeout Route/schedule spec.goal"},
		},
		"goal equal to the timeout": {old: "timeout: 2s", text: "timeout: 2s, goal: 2s"},
		"timeout below the usual work": {
			input: Input{Load: map[string]ServiceLoad{"jadual": {Work: 3 * time.Second}}},
			want:  []string{"timeout-below-work Route/schedule spec.timeout"},
		},
		"goal below the usual work": {
			old: "timeout: 2s", text: "timeout: 2s, goal: 10ms", input: Input{Load: map[string]ServiceLoad{"jadual": {Work: time.Second}}},
			want: []string{"goal-below-work Route/schedule spec.goal"},
		},
		"rate above what stated targets handle": {
			input: Input{Load: map[string]ServiceLoad{"jadual": {Targets: 2, Work: 250 * time.Millisecond}}},
			want:  []string{"rate-above-targets Rate/large spec.perSecond"}, message: "above the 80 that all targets",
		},
		"rate above what known targets handle": {
			input: Input{TargetsKnown: true, Targets: []Target{known("jadual", "a", 100), known("jadual", "b", 5)}, Load: map[string]ServiceLoad{"jadual": {Work: 200 * time.Millisecond}}},
			want:  []string{"rate-above-targets Rate/large spec.perSecond"}, message: "above the 75 that all targets",
		},
		"rate that all targets handle": {input: Input{Load: map[string]ServiceLoad{"jadual": {Targets: 2, Work: 200 * time.Millisecond}}}},
		"extra attempts longer than the timeout": {
			old: "timeout: 2s", text: "timeout: 10ms, extraAttempts: 3", want: []string{"attempts-beyond-timeout Route/schedule spec.extraAttempts"}, message: "which 2 fit",
		},
		"default attempts with a short timeout": {old: "timeout: 2s", text: "timeout: 10ms"},
		"further target without time for it": {
			old: "timeout: 2s", text: "timeout: 15ms, maxTargets: 2", want: []string{"attempts-beyond-timeout Route/schedule spec.maxTargets"},
		},
		"more targets than attempts": {
			old: "timeout: 2s", text: "timeout: 2s, maxTargets: 7", want: []string{"attempts-above-limit Route/schedule spec.maxTargets"},
		},
		"more attempts than targets": {
			old: "timeout: 2s", text: "timeout: 2s, maxTargets: 3", input: Input{Load: map[string]ServiceLoad{"jadual": {Targets: 2}}},
			want: []string{"attempts-above-targets Route/schedule spec.maxTargets"},
		},
		"attempts above the budget": {
			old: "timeout: 2s", text: "timeout: 2s, maxTargets: 3", input: Input{Budget: &Budget{Ratio: 0.01, Reserve: 0.5, Window: time.Second}},
			want: []string{"attempts-above-budget Route/schedule spec.maxTargets"}, message: "allows 1.5 repeats",
		},
		"attempts within the budget": {old: "timeout: 2s", text: "timeout: 2s, maxTargets: 3", input: Input{Budget: &Budget{Ratio: 0.01, Reserve: 1, Window: time.Second}}},
		"attempts without any budget": {
			old: "perSecond: 100, burst: 20", text: "unlimited: true", input: Input{Budget: &Budget{Window: time.Second}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			text := base + "---\n" + c.text
			if c.old != "" {
				require.Contains(t, base, c.old)
				text = strings.Replace(base, c.old, c.text, 1)
			}
			c.input.Resources = parse(t, text)
			got := Check(c.input)
			if c.want == nil {
				c.want = []string{}
			}
			require.Equal(t, c.want, found(got))
			for _, f := range got {
				require.NotEmpty(t, f.Message)
				require.Equal(t, f.Code == CodeConflict, f.Severity == SeverityError)
			}
			if c.message != "" {
				require.Contains(t, got[0].Message, c.message)
			}
		})
	}
}

// TestExamplesHaveNoFindings guards against warnings about configurations that are meant as they are.
func TestExamplesHaveNoFindings(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		require.Empty(t, Check(Input{Resources: parse(t, string(data))}), file)
	}
}

// TestErrorsHideKeys guards against a key that an operator wrote in place of its digest and that a message repeats.
func TestErrorsHideKeys(t *testing.T) {
	for _, spec := range []string{"{keyDigests: [gf_1_secret]}", "{keyDigests: gf_1_secret}", "{keyDigests: ['gf_1_\"secret']}"} {
		_, problems := config.ParseSource("x.yaml", []byte("kind: Organisation\nname: court\nspec: "+spec+"\n"))
		findings := Errors(CodeInvalid, problems)
		require.NotEmpty(t, findings)
		for _, f := range findings {
			require.NotContains(t, f.String(), "secret")
			require.Equal(t, 3, f.Line)
		}
	}
}

// TestUnreadableFile guards against a file that can't be parsed and is reported as a faulty document.
func TestUnreadableFile(t *testing.T) {
	_, problems := config.ParseSource("x.yaml", []byte("kind: [\n"))
	require.Equal(t, CodeUnreadable, Errors(CodeInvalid, problems)[0].Code)
	_, problems = config.ParseSource("x.yaml", []byte("kind: Nothing\nname: x\n"))
	require.Equal(t, CodeInvalid, Errors(CodeInvalid, problems)[0].Code)
}

// TestBudget guards against a budget of an unlimited rate that counts as none, and the reverse.
func TestBudget(t *testing.T) {
	require.InDelta(t, 12, (&Budget{Ratio: 0.1, Reserve: 2, Window: 2 * time.Second}).repeats(50), 1e-9)
	require.True(t, math.IsInf((&Budget{Ratio: 0.1, Window: time.Second}).repeats(math.Inf(1)), 1))
	require.Zero(t, (&Budget{Window: time.Second}).repeats(math.Inf(1)))
}
