package registry

import (
	"net/netip"
	"strings"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
)

// checkAnnouncement returns why an announcement is not valid, or nil.
func checkAnnouncement(a Announcement) *outcome.Refusal {
	if refusal := checkName("name", a.Name); refusal != nil {
		return refusal
	}
	if refusal := checkName("service", a.Service); refusal != nil {
		return refusal
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return badAnnouncement("address %q is not an IP number and port", a.Address)
	}
	if a.Slots < 0 || a.Slots > maxSlots {
		return badAnnouncement("slots %d is not between 0 and %d", a.Slots, maxSlots)
	}
	if a.State == apiv1.TargetState_TARGET_STATE_GONE {
		return badAnnouncement("a target that is gone does not announce itself")
	}
	if len(a.Instance) > maxNameBytes {
		return badAnnouncement("instance is longer than %d bytes", maxNameBytes)
	}
	if refusal := checkPath("health path", a.HealthPath); refusal != nil {
		return refusal
	}
	if refusal := checkPath("load path", a.LoadPath); refusal != nil {
		return refusal
	}
	return checkLabels(a.Labels)
}

func checkName(field, value string) *outcome.Refusal {
	if value == "" {
		return badAnnouncement("%s is missing", field)
	}
	if len(value) > maxNameBytes {
		return badAnnouncement("%s is longer than %d bytes", field, maxNameBytes)
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f }) {
		return badAnnouncement("%s %q contains a slash, a space or a control character", field, value)
	}
	return nil
}

func checkPath(field, value string) *outcome.Refusal {
	if value == "" {
		return nil
	}
	if !strings.HasPrefix(value, "/") || len(value) > maxNameBytes {
		return badAnnouncement("%s %q does not begin with a slash or is longer than %d bytes", field, value, maxNameBytes)
	}
	return nil
}

func checkLabels(set map[string]string) *outcome.Refusal {
	if len(set) > maxLabels {
		return badAnnouncement("%d labels; at most %d are allowed", len(set), maxLabels)
	}
	for key, value := range set {
		if key == "" || len(key) > maxNameBytes || len(value) > maxNameBytes {
			return badAnnouncement("label %q is empty or longer than %d bytes", key, maxNameBytes)
		}
	}
	return nil
}

func badAnnouncement(format string, args ...any) *outcome.Refusal {
	return outcome.NotRun(outcome.BadRequest, 0, format, args...)
}
