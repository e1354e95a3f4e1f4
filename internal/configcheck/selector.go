package configcheck

import (
	"slices"

	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/selection"
)

// conditions are the requirements of a selector on one label.
type conditions struct {
	// allowed holds the values that all lists of values have in common; nil without such a list.
	allowed  []string
	excluded []string
	// present and absent are set if the label must exist, or must not.
	present, absent bool
}

// contradiction returns the first label, by name, on which the conditions of a selector exclude each other. Comparisons of
// numbers only count as a demand that the label exists.
func contradiction(s labels.Selector) (key string, found bool) {
	requirements, _ := s.Requirements()
	byKey := map[string]*conditions{}
	var keys []string
	for _, r := range requirements {
		if byKey[r.Key()] == nil {
			byKey[r.Key()] = &conditions{}
			keys = append(keys, r.Key())
		}
		byKey[r.Key()].add(r.Operator(), r.Values().List())
	}
	slices.Sort(keys)
	for _, key := range keys {
		if byKey[key].impossible() {
			return key, true
		}
	}
	return "", false
}

// add adds one requirement.
func (c *conditions) add(operator selection.Operator, values []string) {
	switch operator {
	case selection.In, selection.Equals, selection.DoubleEquals:
		if c.allowed == nil {
			c.allowed = values
		} else {
			c.allowed = slices.DeleteFunc(slices.Clone(c.allowed), func(v string) bool { return !slices.Contains(values, v) })
		}
		c.present = true
	case selection.NotIn, selection.NotEquals:
		c.excluded = append(c.excluded, values...)
	case selection.DoesNotExist:
		c.absent = true
	default:
		c.present = true
	}
}

// impossible reports whether no value, nor its absence, satisfies all conditions.
func (c *conditions) impossible() bool {
	if c.present && c.absent {
		return true
	}
	return c.allowed != nil && !slices.ContainsFunc(c.allowed, func(v string) bool { return !slices.Contains(c.excluded, v) })
}
