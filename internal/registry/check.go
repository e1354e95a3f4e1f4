package registry

import (
	"net/netip"
	"strings"
	"unicode/utf8"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
)

// checkAnnouncement returns a refusal if an announcement is invalid, and nil otherwise.
func checkAnnouncement(a Announcement) *outcome.Refusal {
	if refusal := checkName("name", a.Name); refusal != nil {
		return refusal
	}
	if refusal := checkName("service", a.Service); refusal != nil {
		return refusal
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return invalidAnnouncement("address %q is not an IP address and port", a.Address)
	}
	if a.Slots < 0 || a.Slots > maxSlots {
		return invalidAnnouncement("slots %d is not between 0 and %d", a.Slots, maxSlots)
	}
	if a.State == apiv1.TargetState_TARGET_STATE_GONE {
		return invalidAnnouncement("state GONE is not allowed in an announcement")
	}
	if len(a.Instance) > maxNameBytes || !utf8.ValidString(a.Instance) {
		return invalidAnnouncement("instance %q is not UTF-8 or longer than %d bytes", a.Instance, maxNameBytes)
	}
	if refusal := checkPath("health path", a.HealthPath); refusal != nil {
		return refusal
	}
	if refusal := checkPath("load path", a.LoadPath); refusal != nil {
		return refusal
	}
	return checkLabels(a.Labels)
}

// CheckTargetName returns a refusal if no target can have the name, and nil otherwise.
func CheckTargetName(name string) *outcome.Refusal {
	return checkName("name", name)
}

func checkName(field, value string) *outcome.Refusal {
	if value == "" {
		return invalidAnnouncement("%s is missing", field)
	}
	if !utf8.ValidString(value) {
		return invalidAnnouncement("%s %q is not UTF-8", field, value)
	}
	if len(value) > maxNameBytes {
		return invalidAnnouncement("%s is longer than %d bytes", field, maxNameBytes)
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f }) {
		return invalidAnnouncement("%s %q contains a slash, a space or a control character", field, value)
	}
	return nil
}

func checkPath(field, value string) *outcome.Refusal {
	if value == "" {
		return nil
	}
	if !strings.HasPrefix(value, "/") || len(value) > maxNameBytes || !utf8.ValidString(value) {
		return invalidAnnouncement("%s %q does not begin with a slash, is not UTF-8 or is longer than %d bytes", field, value, maxNameBytes)
	}
	return nil
}

func checkLabels(labels map[string]string) *outcome.Refusal {
	if len(labels) > maxLabels {
		return invalidAnnouncement("%d labels; at most %d are allowed", len(labels), maxLabels)
	}
	for key, value := range labels {
		if key == "" || len(key) > maxNameBytes || len(value) > maxNameBytes {
			return invalidAnnouncement("label %q is empty or longer than %d bytes", key, maxNameBytes)
		}
		if !utf8.ValidString(key) || !utf8.ValidString(value) {
			return invalidAnnouncement("label %q=%q is not UTF-8", key, value)
		}
	}
	return nil
}

func invalidAnnouncement(format string, args ...any) *outcome.Refusal {
	return outcome.NotRun(outcome.BadRequest, 0, format, args...)
}
