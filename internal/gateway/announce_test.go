package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// TestUnreadableAnnouncementIsRefused guards against an announcement whose bytes are no text being registered under other names than
// the target sent.
func TestUnreadableAnnouncementIsRefused(t *testing.T) {
	local := registry.NewLocal(registry.LocalOptions{Node: "n"})
	handler := NewTargets(NewForwarder(Options{Clock: clock.System{}, Metrics: telemetry.NewMetrics(), Log: telemetry.Discard()}), local)
	for path, body := range map[string]string{
		"/targets/one": "{\"service\":\"rooms\xff\",\"address\":\"127.0.0.1:80\"}",
		"/targets/two": "{\"service\":\"rooms\",\"address\":\"127.0.0.1:80\",\"labels\":{\"a\":\"\xe9\"}}",
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPut, path, strings.NewReader(body)))
		require.Equal(t, http.StatusBadRequest, w.Code, path)
	}
	require.Empty(t, local.Section().Load().Targets)
}
