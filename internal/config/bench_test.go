package config

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"k8s.io/apimachinery/pkg/labels"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// fleetFile returns the YAML of a configuration with three routes, one Target document and one
// organisation for each service, and ten rates and ten classes.
func fleetFile(services int) string {
	var b strings.Builder
	for i := range 10 {
		fmt.Fprintf(&b, "---\n{kind: Rate, name: r%d, spec: {selector: size=s%d, perSecond: 100, burst: 50, optional: true}}\n", i, i)
		fmt.Fprintf(&b, "---\n{kind: Class, name: c%d, spec: {selector: work=w%d, priority: %d, optional: true}}\n", i, i, i)
	}
	for i := range services {
		fmt.Fprintf(&b, "---\n{kind: Organisation, name: o%d, labels: {size: s%d}}\n", i, i%10)
		fmt.Fprintf(&b, "---\n{kind: Target, name: t%d, spec: {service: s%d, slots: 100}}\n", i, i)
		for j, method := range []string{"GET", "POST", "DELETE"} {
			fmt.Fprintf(&b, "---\n{kind: Route, name: r%d-%d, labels: {work: w%d}, spec: {service: s%d, pathPrefix: /s%d/v1, methods: [%s], targets: zone!=old}}\n", i, j, (i+j)%10, i, i, method)
		}
	}
	return b.String()
}

// fleetResources parses the configuration that fleetFile returns.
func fleetResources(b *testing.B, services int) []*apiv1.Resource {
	b.Helper()
	resources, problems := Parse("fleet.yaml", []byte(fleetFile(services)))
	if len(problems) > 0 {
		b.Fatal(problems.Err())
	}
	return resources
}

func BenchmarkCompile(b *testing.B) {
	for _, services := range []int{10, 100, 720} {
		resources := fleetResources(b, services)
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Compile(1, resources); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(resources)), "documents")
		})
	}
}

// BenchmarkCompileOneChange measures compiling when one document has changed since the last call.
func BenchmarkCompileOneChange(b *testing.B) {
	for _, services := range []int{10, 100, 720} {
		resources := fleetResources(b, services)
		var compiler Compiler
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				resources[0] = proto.CloneOf(resources[0])
				if _, err := compiler.Compile(1, resources); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkCheck(b *testing.B) {
	resources := fleetResources(b, 720)
	b.ReportAllocs()
	for b.Loop() {
		if problems := Check(resources); len(problems) > 0 {
			b.Fatal(problems.Err())
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	s, err := Compile(1, fleetResources(b, 720))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, code := s.Match(http.MethodGet, "host.example:8080", "/s700/v1/some/longer/path"); code != "" {
			b.Fatal(code)
		}
	}
}

func BenchmarkTargetPolicy(b *testing.B) {
	s, err := Compile(1, fleetResources(b, 720))
	if err != nil {
		b.Fatal(err)
	}
	announced := labels.Set{"zone": "kl", LabelNode: "n1"}
	b.ReportAllocs()
	for b.Loop() {
		_ = s.TargetPolicy("s700", "t1", announced, 230)
	}
}
