package capacity

import (
	"fmt"
	"strings"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
)

// The planned size of a fleet, in two years.
const (
	plannedNodes        = 6700
	plannedServices     = 720
	plannedControlHosts = 7
	// plannedFollowers is the number of nodes that follow one control replica.
	plannedFollowers      = (plannedNodes + plannedControlHosts - 1) / plannedControlHosts
	plannedCallsPerSecond = 440_000
	// plannedEntryRate is the number of requests a second that enter each node if no call has sub-calls.
	plannedEntryRate     = float64(plannedCallsPerSecond) / plannedNodes
	plannedOrganisations = 1000
	plannedKeys          = 100_000
	// plannedResources counts 3 routes for each service, the organisations, and 800 rates, classes and
	// target policies.
	plannedResources = 3*plannedServices + plannedOrganisations + 800
	// organisationsWithKeys is the number of organisations to which the keys of the model belong.
	organisationsWithKeys = 20
	// calledServices is the number of services that a node calls: twice one for each level of
	// services below its own.
	calledServices = 12
)

// resources returns a valid model configuration of about n documents.
func resources(n int) []*apiv1.Resource {
	var text strings.Builder
	text.WriteString("kind: Rate\nname: all\nspec: {selector: size=any, perSecond: 100, burst: 50}\n")
	text.WriteString("---\nkind: Class\nname: normal\nspec: {selector: work=normal, priority: 3}\n")
	organisations := max(1, n/4)
	for i := range organisations {
		fmt.Fprintf(&text, "---\n%s", organisationYAML(i, 1))
	}
	for i := range max(1, n-organisations-2) {
		fmt.Fprintf(&text, "---\nkind: Route\nname: route-%05d\nlabels: {work: normal}\nspec:\n", i)
		fmt.Fprintf(&text, "  service: service-%04d\n  pathPrefix: /service-%04d/part-%d\n", i/3, i/3, i%3)
		fmt.Fprintf(&text, "  methods: [GET]\n  timeout: 2s\n  extraAttempts: 3\n  maxBody: 64KiB\n")
	}
	return parse(text.String())
}

func organisationYAML(number, weight int) string {
	return fmt.Sprintf("kind: Organisation\nname: organisation-%05d\nlabels: {size: any}\nspec: {weight: %d}\n", number, weight)
}

func parse(text string) []*apiv1.Resource {
	parsed, problems := config.Parse("model.yaml", []byte(text))
	if err := problems.Err(); err != nil {
		panic("capacity: the model configuration is invalid: " + err.Error())
	}
	return parsed
}

// keyRecords returns the records of n issued API keys.
func keyRecords(n int) []*apiv1.KeyRecord {
	records := make([]*apiv1.KeyRecord, n)
	for i := range records {
		hash := make([]byte, 32)
		copy(hash, fmt.Sprintf("%032d", i))
		records[i] = &apiv1.KeyRecord{
			Number:       uint64(i + 1),
			Organisation: fmt.Sprintf("organisation-%05d", i%organisationsWithKeys),
			Hash:         hash,
			Revision:     uint64(i + 1),
		}
	}
	return records
}

// targetRecord returns the registry record of the target on node number i, which belongs to service i modulo services.
func targetRecord(i, services int) *apiv1.TargetRecord {
	return &apiv1.TargetRecord{
		Name:        "target",
		Service:     fmt.Sprintf("service-%04d", i%services),
		Node:        nodeName(i),
		NodeAddress: fmt.Sprintf("10.%d.%d.%d:8083", i>>16&255, i>>8&255, i&255),
		Address:     "127.0.0.1:9000",
		DataCentre:  fmt.Sprintf("dc-%d", i%10),
		Labels:      map[string]string{"tier": "standard", "version": "42"},
		Slots:       64,
		State:       apiv1.TargetState_TARGET_STATE_READY,
		Incarnation: 1,
		Version:     1,
	}
}

func nodeName(i int) string {
	return fmt.Sprintf("host-%05d", i)
}
