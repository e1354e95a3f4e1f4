package fleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/outcome"
)

// atHome sends bookings of a route with home regions through every running host and returns the replies.
func (s *testFleet) atHome(name string) []Reply {
	var replies []Reply
	for i := range 30 {
		for _, h := range s.Hosts {
			if h.Process() != nil {
				path := fmt.Sprintf("/home/%s-%s-%d", name, h.Name, i)
				replies = append(replies, h.Call(Request{Method: http.MethodPost, Path: path, Key: s.key.Text, Timeout: 2 * time.Second}))
			}
		}
	}
	return replies
}

// TestRequestsStayInTheirHomeRegions guards against bookings that leave the home regions of their route or organisation:
// through hosts in other regions, when the targets at home are gone, and by the calls of their targets. It guards
// against bookings that are refused though a target at home could serve them, too.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	withFleet(t, 51, func(s *testFleet) {
		const route = "kind: Route\nname: home\nlabels: {class: standard}\nspec: {pathPrefix: /home, service: tempahan, regions: [west]}\n"
		require.NoError(t, s.Hosts[0].Apply("home", route, settleTimeout))
		time.Sleep(2 * time.Second)
		east := s.targets["tempahan-host-6"]
		before := east.LastRequest()
		for _, reply := range s.atHome("served") {
			require.True(t, reply.OK(), "%+v", reply)
		}
		require.Equal(t, before, east.LastRequest(), "a booking left its home region")

		s.targets["tempahan-host-2"].Kill()
		s.Hosts[3].Crash()
		time.Sleep(time.Second)
		for _, reply := range s.atHome("refused") {
			require.False(t, reply.OK())
			require.Equal(t, outcome.RanNo, reply.Ran, "%+v", reply)
		}
		require.Equal(t, before, east.LastRequest(), "a booking left its home region after the loss of its targets")
	})
}

// TestHomeRegionsOfAnOrganisationHoldForItsSubCalls guards against sub-calls of an organisation that leave its regions.
func TestHomeRegionsOfAnOrganisationHoldForItsSubCalls(t *testing.T) {
	withFleet(t, 52, func(s *testFleet) {
		const organisation = "kind: Organisation\nname: court\nlabels: {size: large}\nspec: {regions: [east]}\n"
		require.NoError(t, s.Hosts[0].Apply("east", organisation, settleTimeout))
		time.Sleep(2 * time.Second)
		began := time.Now()
		for i, h := range s.Hosts {
			for n := range 30 {
				reply := s.book(h, fmt.Sprintf("/east-%d-%d", i, n))
				require.True(t, reply.OK(), "%+v", reply)
			}
		}
		for name, target := range s.targets {
			require.Equal(t, target.host.DataCentre == "putrajaya", target.LastRequest().After(began), name)
		}
	})
}
