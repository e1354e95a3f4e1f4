package cli

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/configcheck"
)

// deadAddress returns an address at which nothing listens.
func deadAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	return listener.Addr().String()
}

// withGoal is the example with a goal above its timeout, which is a warning, in line 10.
var withGoal = strings.Replace(example, "methods: [GET]", "methods: [GET], timeout: 2s, goal: 3s", 1)

// TestCheckExitCodes guards against an exit code on which scripts can't rely: 0 without anything that counts, 1 for
// warnings and differences with --strict only, 2 for errors of any sort.
func TestCheckExitCodes(t *testing.T) {
	f := newFleet(t)
	good, warned := f.file("good.yaml", example), f.file("warned.yaml", withGoal)
	other := f.file("other.yaml", strings.Replace(example, "perSecond: 100", "perSecond: 90", 1))
	conflict := f.file("conflict.yaml", strings.Replace(example, "{size: large}}", "{size: huge}}", 1))
	broken := f.file("broken.yaml", "kind: [\n")
	empty := f.file("empty.yaml", "---\n")
	for _, c := range []struct {
		code int
		args []string
	}{
		{0, []string{good}},
		{0, []string{"--strict", good}},
		{0, []string{"-f", good}},
		{0, []string{"--strict", "--against", good, good}},
		{0, []string{warned}},
		{1, []string{"--strict", warned}},
		{0, []string{"--against", other, good}},
		{1, []string{"--strict", "--against", other, good}},
		{2, []string{conflict}},
		{2, []string{"--strict", "-o", "json", conflict}},
		{2, []string{broken}},
		{2, []string{empty}},
		{2, []string{good, good}},
		{2, []string{"--against", broken, good}},
		{2, []string{"--against", filepath.Join(f.folder, "missing"), good}},
		{2, []string{filepath.Join(f.folder, "missing")}},
		{2, []string{}},
		{2, []string{"--nonsense", good}},
		{2, []string{"--work", "schedule", good}},
		{2, []string{"--work", "schedule=0s", good}},
		{2, []string{"--targets", "schedule=x", good}},
		{2, []string{"--settings", broken, good}},
		{2, []string{"--against", good, "--server", "127.0.0.1:1", good}},
		{2, []string{"--server", "ftp://x", good}},
	} {
		r := f.run(append([]string{"check"}, c.args...)...)
		require.Equal(t, c.code, r.code, "%v: %s%s", c.args, r.out, r.errOut)
		require.Equal(t, c.code == 0, r.errOut == "", "%v: %s", c.args, r.errOut)
	}
	require.Zero(t, f.control.proposals)
}

// TestCheckNamesThePlace guards against a finding without its file and line, and against assumptions of the command line
// that no check uses.
func TestCheckNamesThePlace(t *testing.T) {
	f := newFleet(t)
	path := f.file("a.yaml", withGoal)
	require.Equal(t, path+":10: warning: goal-above-timeout: Route/schedule: spec.goal: the goal of 3s is above the timeout of 2s\n5 documents: 0 errors, 1 warning\n",
		f.ok("check", path))
	out := f.ok("check", "--work", "jadual=5s", "--targets", "jadual=3", path)
	require.Contains(t, out, "timeout-below-work")
	require.Contains(t, f.ok("check", "--work", "jadual=5s", f.file("b.yaml", example+"---\n{kind: Target, name: t, spec: {service: jadual, slots: 3}}\n"), "--targets", "jadual=3"), "rate-above-targets")
}

// TestCheckComparesWithTheServer guards against differences from the version in force that are missed, against findings
// that need the keys and targets of the fleet, and against a check that changes something.
func TestCheckComparesWithTheServer(t *testing.T) {
	f := newFleet(t)
	f.control.targets = []*apiv1.TargetRecord{{Name: "jadual-1", Service: "jadual", Node: "n4"}}
	path := f.file("a.yaml", example)
	f.ok("apply", "-f", path)
	server := f.servers[0]
	require.Contains(t, f.fails(1, "check", "--strict", "--server", server, path), "0 errors, 1 warning, 0 differences")
	require.Contains(t, f.ok("check", "--server", server, path), "organisation-without-key: Organisation/court")
	f.ok("keys", "issue", "court")
	require.Equal(t, "5 documents, no problem, no difference from revision 2 at "+server+"\n", f.ok("check", "--strict", "--server", server, path))
	f.ok("check", "--server", deadAddress(t), "--server", server, path)
	f.ok("keys", "withdraw", "1")
	require.Contains(t, f.ok("check", "--server", server, path), "organisation-without-key")
	proposals := f.control.proposals

	path = f.file("b.yaml", strings.Replace(strings.Replace(example, "burst: 20", "burst: 30", 1), "name: normal", "name: usual", 1)+
		"---\n{kind: Target, name: t, spec: {service: jadual, target: jadual-9, slots: 3}}\n")
	out := f.ok("check", "--server", server, path)
	require.Contains(t, out, "policy-without-target: Target/t: spec.target")
	require.Contains(t, out, "differences from revision 3 at "+server+":\n"+
		"- Class/normal (not in the files; apply leaves it in force)\n+ Class/usual\n    spec.priority: 5\n    spec.selector: \"\"\n"+
		"~ Rate/large\n    spec.burst: 20 -> 30\n+ Target/t\n    spec.service: \"jadual\"\n    spec.slots: 3\n    spec.target: \"jadual-9\"\n")
	require.Equal(t, proposals, f.control.proposals, "a check sends no change")
}

// TestCheckAsJSON guards against a change of the JSON form, on which scripts rely.
func TestCheckAsJSON(t *testing.T) {
	f := newFleet(t)
	old, path := f.file("old.yaml", example), f.file("new.yaml", withGoal)
	out := f.ok("check", "-o", "json", "--against", old, path)
	require.JSONEq(t, `{"documents":5,"errors":0,"warnings":1,
		"findings":[{"code":"goal-above-timeout","severity":"warning","file":"`+path+`","line":10,"kind":"Route","name":"schedule","field":"spec.goal",
			"message":"the goal of 3s is above the timeout of 2s"}],
		"inForce":{"source":"`+old+`"},
		"differences":[{"change":"changed","kind":"Route","name":"schedule","fields":[{"field":"spec.goal","new":"3s"},{"field":"spec.timeout","new":"2s"}]}]}`, out)
	var fromYAML map[string]any
	require.NoError(t, yaml.Unmarshal([]byte(f.ok("check", "-o", "yaml", path)), &fromYAML))
	require.Equal(t, 1, fromYAML["warnings"])
	require.JSONEq(t, `{"documents":5,"errors":0,"warnings":0,"findings":[],"differences":null}`, f.ok("check", "-o", "json", old))
	require.JSONEq(t, `{"documents":5,"errors":0,"warnings":0,"findings":[],"inForce":{"source":"`+old+`"},"differences":[]}`, f.ok("check", "-o", "json", "--against", old, old))
}

// TestCheckWithoutTheServer guards against a control host that can't be reached and hides what is found in the files, or
// that counts as one without differences.
func TestCheckWithoutTheServer(t *testing.T) {
	f := newFleet(t)
	path, dead := f.file("a.yaml", withGoal), deadAddress(t)
	for _, args := range [][]string{{"--timeout", "200ms"}, {"--timeout", "200ms", "-o", "json"}} {
		r := f.run(append([]string{"check", "--server", dead, path}, args...)...)
		require.Equal(t, 2, r.code)
		require.Contains(t, r.out, "goal-above-timeout")
		require.Contains(t, r.errOut, "the version in force can't be read, so that differences are not known")
		require.Contains(t, r.errOut, dead)
		if len(args) > 2 {
			var report checkReport
			require.NoError(t, json.Unmarshal([]byte(r.out), &report))
			require.Contains(t, report.InForceError, dead)
			require.Nil(t, report.Differences)
			require.Nil(t, report.InForce)
		}
	}
	f.file("token", strings.Repeat("x", 32))
	r := f.run("check", "--server", f.servers[0], path)
	require.Equal(t, 2, r.code, "a refused token")
	require.Contains(t, r.out, "goal-above-timeout")
	require.NoError(t, os.Remove(filepath.Join(f.folder, "token")))
	r = f.run("check", "--server", f.servers[0], path)
	require.Equal(t, 2, r.code, "no token")
	require.Contains(t, r.out, "goal-above-timeout")
}

// TestCheckPrintsNoKeys guards against digests of keys, or keys in their place, in findings and differences.
func TestCheckPrintsNoKeys(t *testing.T) {
	f := newFleet(t)
	digest := func(c string) string { return strings.Repeat(c, 64) }
	with := func(name, keys string) string {
		return f.file(name, strings.Replace(example, "{size: large}}", "{size: large}, spec: {keyDigests: ["+keys+"]}}", 1))
	}
	old, changed, faulty := with("a.yaml", digest("a")), with("b.yaml", digest("b")+","+digest("c")), with("c.yaml", "gf_1_secret")
	for _, output := range []string{"table", "json", "yaml"} {
		out := f.ok("check", "-o", output, "--against", old, changed)
		require.Contains(t, out, "2 keys, 2 of them new")
		for _, c := range []string{"a", "b", "c"} {
			require.NotContains(t, out, digest(c))
		}
		r := f.run("check", "-o", output, faulty)
		require.Equal(t, 2, r.code)
		require.NotContains(t, r.out+r.errOut, "secret")
		r = f.run("check", "-o", output, "--against", faulty, old)
		require.Equal(t, 2, r.code)
		require.NotContains(t, r.out+r.errOut, "secret")
	}
}

// TestCheckOfTheExamplesFindsNothing guards against warnings about configurations that are meant as they are.
func TestCheckOfTheExamplesFindsNothing(t *testing.T) {
	f := newFleet(t)
	files, err := filepath.Glob("../../examples/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		require.Contains(t, f.ok("check", "--strict", file), "documents, no problem\n", file)
	}
}

// TestDocsFindings guards against codes of findings that the operators' page lacks.
func TestDocsFindings(t *testing.T) {
	var codes []string
	for _, code := range configcheck.Codes() {
		codes = append(codes, string(code))
	}
	listed := sortedNames(tableRows(section(t, readPage(t, operatorsPage), "### Check a configuration")))
	require.ElementsMatch(t, codes, listed)
}
