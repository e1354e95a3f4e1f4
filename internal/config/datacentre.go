package config

import (
	"k8s.io/apimachinery/pkg/util/validation"
)

// DataCentreSpec holds operator settings for a data centre. The name of its document is that of the data centre.
type DataCentreSpec struct {
	// Drain stops sending new requests to the targets in the data centre.
	Drain bool `json:"drain,omitempty" yaml:"drain"`
}

func (s *DataCentreSpec) check(func(field, format string, args ...any)) {}

// dataCentreRule describes to operators the names that ValidDataCentre accepts.
const dataCentreRule = "at most 63 letters, digits, -, _ and ., starting and ending with a letter or digit"

// ValidDataCentre reports whether name may be that of a data centre. Hosts check theirs by the same rule, which is wider
// than that of other documents.
func ValidDataCentre(name string) bool {
	return name != "" && len(validation.IsValidLabelValue(name)) == 0
}

// checkRegions validates the names of regions, which follow the rule of the hosts' settings.
func checkRegions(regions []string, report func(field, format string, args ...any)) {
	for _, name := range regions {
		if !ValidDataCentre(name) {
			report("regions", "%q is not a region; allowed: %s", name, dataCentreRule)
		}
	}
}

// validResourceName reports whether a document of a kind may have a name, and the rule for such names.
func validResourceName(kind, name string) (valid bool, rule string) {
	if kind == KindDataCentre {
		return ValidDataCentre(name), dataCentreRule
	}
	return validName(name), nameRule
}

// IsDrained reports whether an operator drains a data centre.
func (s *Snapshot) IsDrained(dataCentre string) bool {
	return s.drainedDataCentres[dataCentre]
}

// DrainedDataCentres returns the names of the drained data centres in ascending order.
func (s *Snapshot) DrainedDataCentres() []string {
	return sortedKeys(s.drainedDataCentres)
}
