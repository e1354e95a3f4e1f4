package settings

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/feature"
)

// Names of the command-line flags.
const (
	flagName              = "name"
	flagDataCentre        = "data-centre"
	flagRegion            = "region"
	flagRegions           = "regions"
	flagCallersAddress    = "callers-address"
	flagTargetsAddress    = "targets-address"
	flagOperatorAddress   = "operator-address"
	flagPeerAddress       = "peer-address"
	flagPeerListenAddress = "peer-listen-address"
	flagDataFolder        = "data-folder"
	flagNoControl         = "no-control"
	flagControl           = "control"
	flagInitialReplicas   = "initial-replicas"
	flagFleetSecretFile   = "fleet-secret-file"
	flagOperatorTokenFile = "operator-token-file"
	flagFreshnessLimit    = "freshness-limit"
	flagAnnouncementTTL   = "announcement-ttl"
	flagStopTimeout       = "stop-timeout"
	flagLogLevel          = "log-level"
	flagLearnCapacity     = "learn-capacity"
	flagSpreadDemand      = "spread-demand"
	flagDisable           = "disable"
)

// Flags returns the command-line flags that set the fields of n. The current values of n are the defaults.
func (n *Node) Flags() []cli.Flag {
	return []cli.Flag{
		text(flagName, &n.Name, "name of this node, unique in the fleet; made from --peer-address when empty"),
		text(flagDataCentre, &n.DataCentre, "data centre of this host"),
		text(flagRegion, &n.Region, "region of this host"),
		&cli.GenericFlag{Name: flagRegions, Value: &mapValue{&n.Regions}, Usage: "regions of all data centres, as DATA-CENTRE=REGION, separated by commas",
			Sources: source(flagRegions)},
		text(flagCallersAddress, &n.CallersAddress, "IP number and port for callers"),
		text(flagTargetsAddress, &n.TargetsAddress, "IP number and port for the targets of this host"),
		text(flagOperatorAddress, &n.OperatorAddress, "IP number and port for operators"),
		text(flagPeerAddress, &n.PeerAddress, "IP number and port for other nodes, as they reach it"),
		text(flagPeerListenAddress, &n.PeerListenAddress, "IP number and port where connections to --peer-address arrive behind a forwarder"),
		text(flagDataFolder, &n.DataFolder, "folder of everything that the process keeps"),
		&cli.BoolFlag{Name: flagNoControl, Destination: &n.NoControl, Value: n.NoControl, Sources: source(flagNoControl),
			Usage: "run without a control replica"},
		list(flagControl, &n.Control, "peer addresses of control replicas, separated by commas"),
		list(flagInitialReplicas, &n.InitialReplicas, "peer addresses of the first control replicas of a new fleet, separated by commas"),
		text(flagFleetSecretFile, &n.FleetSecretFile, "file with the secret that all nodes share; made in the data folder when empty"),
		text(flagOperatorTokenFile, &n.OperatorTokenFile, "file with the operators' token; made in the data folder when empty"),
		n.duration(flagFreshnessLimit, &n.FreshnessLimit, "age of the confirmed configuration past which requests with a key are refused"),
		n.duration(flagAnnouncementTTL, &n.AnnouncementTTL, "time without a renewal after which a target counts as gone"),
		n.duration(flagStopTimeout, &n.StopTimeout, "longest time that a planned stop waits for running requests"),
		text(flagLogLevel, &n.LogLevel, "debug, info, warn or error"),
		&cli.BoolFlag{Name: flagLearnCapacity, Destination: &n.LearnCapacity, Value: n.LearnCapacity, Sources: source(flagLearnCapacity),
			Usage: "divide calls among the targets of a service by what each is learned to handle well"},
		&cli.BoolFlag{Name: flagSpreadDemand, Destination: &n.SpreadDemand, Value: n.SpreadDemand, Sources: source(flagSpreadDemand),
			Usage: "decide by the demand of a data centre how many calls leave it"},
		list(flagDisable, &n.Disable, "features to turn off, separated by commas: "+strings.Join(feature.Names(), ", ")),
	}
}

// source returns the environment variable of a flag as the source of its value.
func source(flag string) cli.ValueSourceChain {
	return cli.EnvVars(Variable(flag))
}

// text returns a flag that holds a string.
func text(name string, destination *string, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Destination: destination, Value: *destination, Usage: usage, Sources: source(name)}
}

// list returns a flag that holds a list separated by commas.
func list(name string, destination *[]string, usage string) cli.Flag {
	value := &listValue{destination}
	return &cli.GenericFlag{Name: name, Value: value, Usage: usage, Sources: source(name), DefaultText: value.String()}
}

// duration returns a flag that holds a duration.
func (n *Node) duration(name string, destination *time.Duration, usage string) cli.Flag {
	value := &durationValue{name: name, destination: destination, problems: &n.parseProblems}
	return &cli.GenericFlag{Name: name, Value: value, Usage: usage, Sources: source(name), DefaultText: value.String()}
}

// listValue is the value of a flag that holds a list separated by commas. If the flag is given twice, the last one
// counts.
type listValue struct {
	destination *[]string
}

// Set parses the list.
func (v *listValue) Set(s string) error {
	var values []string
	for _, value := range strings.Split(s, ",") {
		if trimmed := strings.TrimSpace(value); trimmed != "" {
			values = append(values, trimmed)
		}
	}
	*v.destination = values
	return nil
}

// String returns the list in the form that Set parses.
func (v *listValue) String() string {
	if v.destination == nil {
		return ""
	}
	return strings.Join(*v.destination, ",")
}

// Get returns the list.
func (v *listValue) Get() any { return *v.destination }

// mapValue is the value of a flag that holds pairs KEY=VALUE separated by commas. If the flag is given twice, the last
// one counts.
type mapValue struct {
	destination *map[string]string
}

// Set parses the pairs. One without a value gets an empty one, which Node.Check reports.
func (v *mapValue) Set(s string) error {
	values := map[string]string{}
	for _, pair := range strings.Split(s, ",") {
		if trimmed := strings.TrimSpace(pair); trimmed != "" {
			key, value, _ := strings.Cut(trimmed, "=")
			values[strings.TrimSpace(key)] = strings.TrimSpace(value)
		}
	}
	*v.destination = values
	return nil
}

// String returns the pairs in the form that Set parses, sorted by key.
func (v *mapValue) String() string {
	if v.destination == nil {
		return ""
	}
	pairs := make([]string, 0, len(*v.destination))
	for _, key := range slices.Sorted(maps.Keys(*v.destination)) {
		pairs = append(pairs, key+"="+(*v.destination)[key])
	}
	return strings.Join(pairs, ",")
}

// Get returns the map.
func (v *mapValue) Get() any { return *v.destination }

// durationValue is the value of a flag that holds a duration. It stores what can't be parsed as a problem for
// Node.Check, so that all problems are reported at once.
type durationValue struct {
	name        string
	destination *time.Duration
	problems    *Problems
}

// Set parses the duration. It never fails: Node.Check reports a value that can't be parsed.
func (v *durationValue) Set(s string) error {
	parsed, err := time.ParseDuration(s)
	if err != nil {
		*v.problems = append(*v.problems, Problem{v.name, s, "a duration with its unit, such as 4s or 500ms"})
		return nil
	}
	*v.destination = parsed
	return nil
}

// String returns the duration in the form that Set parses.
func (v *durationValue) String() string {
	if v.destination == nil {
		return ""
	}
	return v.destination.String()
}

// Get returns the duration.
func (v *durationValue) Get() any { return *v.destination }
