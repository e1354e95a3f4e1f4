// Package settings defines the settings of a node process and reads them from flags and environment variables.
//
// Each setting is a flag of the command "node" and an environment variable: GUAVAFORD_ followed by the flag's name
// in upper case, with _ for -. A flag takes precedence over its variable. Settings that have no flag are set by
// programs that start a node themselves. Node.Check reports all problems at once.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/util/validation"

	"github.com/guavaford/guavaford/internal/feature"
)

// Node holds the settings of one process.
type Node struct {
	// Name identifies the node in the fleet. It is derived from PeerAddress when empty.
	Name string
	// DataCentre and Region are the location of the host.
	DataCentre string
	Region     string
	// Regions maps the data centres of the fleet to their regions. For the own one, Region is enough.
	Regions map[string]string
	// CallersAddress is where the node listens for requests of callers.
	CallersAddress string
	// TargetsAddress is where the node listens for announcements of the targets on this host and for the calls that
	// they make to other services.
	TargetsAddress string
	// OperatorAddress is where the node listens for requests of operators.
	OperatorAddress string
	// PeerAddress is the address to which other nodes connect.
	PeerAddress string
	// PeerListenAddress is where the node listens for connections of other nodes if a forwarder passes them on from
	// PeerAddress; empty stands for PeerAddress.
	PeerListenAddress string
	// DataFolder is the folder of everything that the process stores.
	DataFolder string
	// NoControl turns off the control replica of this process.
	NoControl bool
	// Control lists peer addresses at which the node looks for control replicas.
	Control []string
	// InitialReplicas lists the peer addresses of the first control replicas of a new fleet.
	InitialReplicas []string
	// FleetSecretFile is the path of the file with the secret that all nodes of a fleet share.
	FleetSecretFile string
	// OperatorTokenFile is the path of the file with the token that operators present.
	OperatorTokenFile string
	// FreshnessLimit is the time since the configuration was last confirmed past which requests with an API key are
	// refused.
	FreshnessLimit time.Duration
	// AnnouncementTTL is the time after which a target that does not renew its announcement counts as gone.
	AnnouncementTTL time.Duration
	// StopTimeout is the longest time that a planned stop waits for running requests.
	StopTimeout time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// TrustedNetwork states that only nodes can reach the peer address: connections between nodes are
	// neither encrypted nor authenticated, and no secrets are created. The addresses for callers, targets and
	// operators are then not served.
	TrustedNetwork bool
	// DirectAddress is where the node listens for requests of both callers and the target of this host, whose host
	// and path give the route; empty means that the node has no such address.
	DirectAddress string
	// Service is the service of this host's target, which sends its calls to DirectAddress.
	Service string
	// Voters is the number of control replicas that vote; further ones are standbys. 0 lets all vote.
	Voters int
	// MinVoters is the number of voters that a new cluster must have before it accepts the first change.
	MinVoters int
	// NodeTimeout is how long a node may send no heartbeat before control replicas hide its targets from others; 0
	// stands for the default.
	NodeTimeout time.Duration
	// RepeatRatio, RepeatReserve and RepeatWindow bound the retries of a service over all nodes: within a window, the
	// requests that may reach a further target are this ratio of callers' requests for the service, plus a fixed
	// number.
	RepeatRatio   float64
	RepeatReserve float64
	RepeatWindow  time.Duration
	// ColdExcess and ColdSlack bound the requests that a cold target gets in any second: its cold rate times ColdExcess, and ColdSlack
	// more. Both 0 stand for the defaults.
	ColdExcess, ColdSlack float64
	// RateStartCredit is the content of an organisation's token bucket when another replica takes it over, as the time
	// in which the organisation's rate fills it.
	RateStartCredit time.Duration
	// MaxConnections is the number of callers' connections above which connections are closed after their next answer;
	// 0 sets no limit.
	MaxConnections int
	// LearnCapacity divides calls among targets by what each is learned to handle well.
	LearnCapacity bool
	// SpreadDemand decides by the demand of a data centre how many calls leave it.
	SpreadDemand bool
	// Disable lists the names of features to turn off.
	Disable []string
	// MemoryLimit is the memory in bytes below which the process should stay; 0 sets no limit.
	MemoryLimit int64

	// parseProblems holds the values that could not be parsed.
	parseProblems Problems
}

// Allowed ranges of the durations.
const (
	minFreshnessLimit  = 500 * time.Millisecond
	maxFreshnessLimit  = time.Minute
	minAnnouncementTTL = 500 * time.Millisecond
	maxAnnouncementTTL = 5 * time.Minute
	minStopTimeout     = time.Second
	maxStopTimeout     = time.Hour
)

// maxControlReplicas bounds the control replicas of a fleet.
const maxControlReplicas = 7

// Default returns the settings of a single node that listens on the loopback interface.
func Default() *Node {
	return &Node{
		DataCentre:      "local",
		Region:          "local",
		CallersAddress:  "127.0.0.1:8080",
		TargetsAddress:  "127.0.0.1:8081",
		OperatorAddress: "127.0.0.1:8082",
		PeerAddress:     "127.0.0.1:8083",
		DataFolder:      "./guavaford-data",
		FreshnessLimit:  4 * time.Second,
		AnnouncementTTL: 5 * time.Second,
		StopTimeout:     30 * time.Second,
		LogLevel:        "info",
	}
}

// Problem describes one invalid setting.
type Problem struct {
	// Setting is the name of the flag.
	Setting string
	Value   string
	// Allowed describes the accepted values.
	Allowed string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("--%s (%s) is %q; allowed: %s", p.Setting, Variable(p.Setting), p.Value, p.Allowed)
}

// Problems lists invalid settings.
type Problems []Problem

// Err returns nil if there is no problem, else one error with a line for each.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return errors.New(strings.Join(lines, "\n"))
}

// Variable returns the environment variable of a flag.
func Variable(flag string) string {
	return "GUAVAFORD_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Check fills in the settings that are derived from others and reports every invalid one.
func (n *Node) Check() Problems {
	problems := slices.Clone(n.parseProblems)
	report := func(setting, value, allowed string) {
		problems = append(problems, Problem{setting, value, allowed})
	}
	n.checkAddresses(report)
	n.checkNames(report)
	n.checkControl(report)
	n.checkFiles(report)
	n.checkRest(report)
	if _, err := feature.Parse(n.Disable); err != nil {
		report(flagDisable, strings.Join(n.Disable, ","), "names from "+strings.Join(feature.Names(), ", "))
	}
	return problems
}

// report records one invalid setting.
type report func(setting, value, allowed string)

// checkAddresses checks that every address can be used and that no two are equal.
func (n *Node) checkAddresses(report report) {
	const rule = "an IP number and a port, such as 127.0.0.1:8080 or [::1]:8080"
	const peerRule = "an IP number by which other hosts reach this one and a port from 1 to 65535"
	seen := map[string]string{}
	for _, a := range []struct{ setting, value string }{
		{flagCallersAddress, n.CallersAddress},
		{flagTargetsAddress, n.TargetsAddress},
		{flagOperatorAddress, n.OperatorAddress},
	} {
		address, err := netip.ParseAddrPort(a.value)
		if err != nil {
			report(a.setting, a.value, rule)
			continue
		}
		if other, taken := seen[a.value]; taken && address.Port() != 0 {
			report(a.setting, a.value, "an address that --"+other+" does not use")
		}
		seen[a.value] = a.setting
	}
	if !reachable(n.PeerAddress) {
		report(flagPeerAddress, n.PeerAddress, peerRule)
	} else if other, taken := seen[n.PeerAddress]; taken {
		report(flagPeerAddress, n.PeerAddress, "an address that --"+other+" does not use")
	}
	if n.PeerListenAddress == "" {
		return
	}
	if _, err := netip.ParseAddrPort(n.PeerListenAddress); err != nil {
		report(flagPeerListenAddress, n.PeerListenAddress, rule)
	} else if other, taken := seen[n.PeerListenAddress]; taken {
		report(flagPeerListenAddress, n.PeerListenAddress, "an address that --"+other+" does not use")
	}
}

// EffectivePeerListenAddress returns the address at which the process listens for connections of other nodes.
func (n *Node) EffectivePeerListenAddress() string {
	if n.PeerListenAddress != "" {
		return n.PeerListenAddress
	}
	return n.PeerAddress
}

// reachable reports whether an address is one to which another host can connect: an IP number with a port, neither
// unspecified nor multicast.
func reachable(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
}

// checkNames derives the node's name if it is empty, and checks the names of node, data centre and region.
func (n *Node) checkNames(report report) {
	const rule = "at most 63 letters, digits, -, _ and ., starting and ending with a letter or digit"
	if n.Name == "" {
		n.Name = nodeName(n.PeerAddress)
	}
	for _, name := range []struct{ setting, value string }{
		{flagName, n.Name}, {flagDataCentre, n.DataCentre}, {flagRegion, n.Region},
	} {
		if !validName(name.value) {
			report(name.setting, name.value, rule)
		}
	}
	for dataCentre, region := range n.Regions {
		if !validName(dataCentre) || !validName(region) {
			report(flagRegions, dataCentre+"="+region, "DATA-CENTRE=REGION, each with "+rule)
		}
	}
}

// validName reports whether a name of a node, data centre or region is allowed.
func validName(name string) bool {
	return name != "" && len(validation.IsValidLabelValue(name)) == 0
}

// nodeName derives the name of a node from its peer address.
func nodeName(peerAddress string) string {
	name := strings.NewReplacer(":", "-", "[", "", "]", "", "%", "-").Replace(peerAddress)
	return "node-" + strings.Trim(name, "-")
}

// checkControl checks the addresses of control replicas.
func (n *Node) checkControl(report report) {
	const rule = "peer addresses (IP number and port), separated by commas"
	for _, list := range []struct {
		setting string
		values  []string
	}{
		{flagControl, n.Control}, {flagInitialReplicas, n.InitialReplicas},
	} {
		for _, value := range list.values {
			if !reachable(value) {
				report(list.setting, value, rule)
			}
		}
	}
	joined := strings.Join(n.InitialReplicas, ",")
	switch {
	case n.NoControl && len(n.InitialReplicas) > 0:
		report(flagInitialReplicas, joined, "nothing, since --"+flagNoControl+" is set")
	case len(n.InitialReplicas) > maxControlReplicas:
		report(flagInitialReplicas, joined, fmt.Sprintf("at most %d addresses", maxControlReplicas))
	case len(n.InitialReplicas) > 0 && !slices.Contains(n.InitialReplicas, n.PeerAddress):
		report(flagInitialReplicas, joined, "a list that contains the own --"+flagPeerAddress+" "+n.PeerAddress)
	}
	if n.NoControl && len(n.Control) == 0 {
		report(flagControl, "", rule+"; at least one, since --"+flagNoControl+" is set")
	}
}

// readableByOthers is the mask of the mode bits that let the group or other users read a file.
const readableByOthers os.FileMode = 0o044

// checkFiles reports secret files that are set but missing, or that other users can read. Files that are not set are
// created in the data folder.
func (n *Node) checkFiles(report report) {
	for _, f := range []struct{ setting, path string }{
		{flagFleetSecretFile, n.FleetSecretFile}, {flagOperatorTokenFile, n.OperatorTokenFile},
	} {
		if f.path == "" {
			continue
		}
		info, err := os.Stat(f.path)
		switch {
		case err != nil || !info.Mode().IsRegular():
			report(f.setting, f.path, "a file that exists")
		case info.Mode()&readableByOthers != 0:
			report(f.setting, f.path, "a file that only its owner can read; run: chmod 600 "+f.path)
		}
	}
}

// checkRest checks the data folder, the durations and the log level.
func (n *Node) checkRest(report report) {
	if n.DataFolder == "" {
		report(flagDataFolder, n.DataFolder, "the path of a folder")
	}
	for _, d := range []struct {
		setting         string
		value           time.Duration
		lowest, highest time.Duration
	}{
		{flagFreshnessLimit, n.FreshnessLimit, minFreshnessLimit, maxFreshnessLimit},
		{flagAnnouncementTTL, n.AnnouncementTTL, minAnnouncementTTL, maxAnnouncementTTL},
		{flagStopTimeout, n.StopTimeout, minStopTimeout, maxStopTimeout},
	} {
		unparsed := slices.ContainsFunc(n.parseProblems, func(p Problem) bool { return p.Setting == d.setting })
		if !unparsed && (d.value < d.lowest || d.value > d.highest) {
			report(d.setting, d.value.String(), fmt.Sprintf("%v to %v", d.lowest, d.highest))
		}
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, n.LogLevel) {
		report(flagLogLevel, n.LogLevel, "debug, info, warn, error")
	}
}
