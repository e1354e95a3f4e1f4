package lab

import "time"

// Service is a group of targets that run the same program.
type Service struct {
	Name    string
	Targets int
	// Slots is the number of requests that one target runs at a time.
	Slots int
	// ServiceTime is the mean time of a request without its sub-calls.
	ServiceTime time.Duration
}

// Chain is a route and the services that its requests call, outermost first.
type Chain struct {
	Route    string
	Services []string
	// Bottleneck is the service that limits the chain.
	Bottleneck string
	Priority   int
	// Rate is the number of requests a second of all organisations at load 1.
	Rate float64
}

// Tenant is one organisation and its share of all requests.
type Tenant struct {
	Name  string
	Share float64
}

// Deployment describes a site to simulate.
type Deployment struct {
	Name        string
	DataCentres []string
	// CrossDelay is the one-way delay between data centres.
	CrossDelay time.Duration
	Services   []Service
	Chains     []Chain
	Tenants    []Tenant
	// Timeout is how long a caller waits for an answer.
	Timeout time.Duration
	// InnermostService is the innermost service, which slows down in scenario c and has the faulty target in scenarios
	// e.
	InnermostService string
}

// One-way network delays that both deployments share.
const (
	localDelay  = 100 * time.Microsecond
	clientDelay = time.Millisecond
)

// Koperasi returns the site of a co-operative. Load 1 uses the 120 slots of its service premis in full.
func Koperasi() *Deployment {
	return &Deployment{
		Name:        "koperasi",
		DataCentres: []string{"kl", "shah-alam", "putrajaya"},
		CrossDelay:  500 * time.Microsecond,
		Services: []Service{
			{Name: "tempahan", Targets: 3, Slots: 300, ServiceTime: 100 * time.Millisecond},
			{Name: "transkrip", Targets: 3, Slots: 300, ServiceTime: 200 * time.Millisecond},
			{Name: "jadual", Targets: 4, Slots: 230, ServiceTime: 50 * time.Millisecond},
			{Name: "premis", Targets: 3, Slots: 40, ServiceTime: 100 * time.Millisecond},
		},
		Chains: []Chain{
			{Route: "book-urgent", Services: []string{"tempahan", "jadual", "premis"}, Bottleneck: "premis", Priority: 0, Rate: 60},
			{Route: "book", Services: []string{"tempahan", "jadual", "premis"}, Bottleneck: "premis", Priority: 1, Rate: 740},
			{Route: "book-batch", Services: []string{"tempahan", "jadual", "premis"}, Bottleneck: "premis", Priority: 2, Rate: 400},
			{Route: "transcript", Services: []string{"transkrip", "jadual"}, Bottleneck: "transkrip", Priority: 2, Rate: 600},
		},
		Tenants:          tenants(),
		Timeout:          2 * time.Second,
		InnermostService: "premis",
	}
}

// Verband returns the site of an archive. Load 1 uses the 45 slots of its service ansicht in full.
func Verband() *Deployment {
	return &Deployment{
		Name:        "verband",
		DataCentres: []string{"wien-a", "wien-b", "stpoelten"},
		CrossDelay:  1500 * time.Microsecond,
		Services: []Service{
			{Name: "suche", Targets: 3, Slots: 75, ServiceTime: 40 * time.Millisecond},
			{Name: "sperre", Targets: 3, Slots: 75, ServiceTime: 50 * time.Millisecond},
			{Name: "ausfuhr", Targets: 3, Slots: 75, ServiceTime: 100 * time.Millisecond},
			{Name: "ansicht", Targets: 3, Slots: 15, ServiceTime: 60 * time.Millisecond},
		},
		Chains: []Chain{
			{Route: "hold", Services: []string{"sperre", "suche", "ansicht"}, Bottleneck: "ansicht", Priority: 0, Rate: 40},
			{Route: "search", Services: []string{"suche", "ansicht"}, Bottleneck: "ansicht", Priority: 1, Rate: 510},
			{Route: "export", Services: []string{"ausfuhr", "ansicht"}, Bottleneck: "ansicht", Priority: 2, Rate: 200},
		},
		Tenants:          tenants(),
		Timeout:          time.Second,
		InnermostService: "ansicht",
	}
}

// tenants returns 8 organisations: 3 large and 5 small ones.
func tenants() []Tenant {
	return []Tenant{
		{"large-1", 0.30}, {"large-2", 0.20}, {"large-3", 0.15},
		{"small-1", 0.10}, {"small-2", 0.10}, {"small-3", 0.05}, {"small-4", 0.05}, {"small-5", 0.05},
	}
}

// service returns the service with a name.
func (d *Deployment) service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	panic("lab: unknown service " + name)
}

// capacity returns the requests a second that a service can complete when its service time is
// multiplied by slowFactor. timeInSubCalls is how long each request holds its slot for sub-calls.
func (d *Deployment) capacity(name string, slowFactor float64, timeInSubCalls time.Duration) float64 {
	s := d.service(name)
	hold := time.Duration(float64(s.ServiceTime)*slowFactor) + timeInSubCalls
	return float64(s.Targets*s.Slots) / hold.Seconds()
}

// timeInSubCalls returns the time that a request of a chain spends in the calls below its bottleneck.
func (d *Deployment) timeInSubCalls(c *Chain) time.Duration {
	total := time.Duration(0)
	belowBottleneck := false
	for _, name := range c.Services {
		if belowBottleneck {
			total += d.service(name).ServiceTime + 2*d.CrossDelay
		}
		belowBottleneck = belowBottleneck || name == c.Bottleneck
	}
	return total
}
