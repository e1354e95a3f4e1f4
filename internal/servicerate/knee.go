package servicerate

import (
	"math"
	"time"
)

const (
	// maxSteps is the number of steps into which the slots are divided; with fewer slots each is a step.
	maxSteps = 20
	// recentStarts is the number of requests whose start is remembered. More than that in flight are not compared.
	recentStarts = 1024
	// maxStartGap is the longest time between the starts of two requests that are compared.
	maxStartGap = 10 * time.Millisecond
	// rememberedPairs is the number of compared pairs over which the difference at one step is averaged.
	rememberedPairs = 400
	// minPairs is the least number of pairs from which a difference is used.
	minPairs = 30
	// minSignificance is the number of standard errors by which a difference must exceed 0. Of 20 steps checked all
	// the time, one with 3 was a false knee now and then.
	minSignificance = 5
	// forgetAfter is the time constant with which the difference at a step vanishes while no requests are compared
	// there. The limit keeps the target from reaching a step above the knee, so it could not rise again otherwise.
	forgetAfter = 30 * time.Second
	// wellShare is the share of the highest throughput that a lower limit must reach to be preferred: the same work
	// finishes sooner there.
	wellShare = 0.95
	// minLimitShare bounds how far a knee lowers the limit, as a share of the slots.
	minLimitShare = 0.5
	// limitInterval is the time for which a computed limit is kept.
	limitInterval = 100 * time.Millisecond
)

// comparedDistances are the distances, in the order of starts, of requests that are compared. With the next ones alone
// a wave of demand passed the knee before it was found.
var comparedDistances = [...]Ticket{^Ticket(0), 1, ^Ticket(2), 3, ^Ticket(8), 9}

// start is a request that has started.
type start struct {
	ticket Ticket
	at     time.Time
	step   int
	// logRatio is the logarithm of its time in relation to the usual one, once it has finished.
	logRatio float64
	finished bool
}

// difference is by how much longer requests take above a step than below, as a mean of logarithms.
type difference struct {
	mean, variance float64
	pairs          int
	at             time.Time
}

// knee finds the number of concurrent requests above which each takes longer.
type knee struct {
	next   Ticket
	starts []start
	// above holds the difference between each step and the one below.
	above [maxSteps]difference
	// slots are those that the steps divide; when a target announces others, all is learned again.
	slots, steps int
	computed     time.Time
	share        float64
}

func (k *knee) started(now time.Time, inFlight, slots int) Ticket {
	if k.starts == nil {
		k.starts = make([]start, recentStarts)
	}
	if slots != k.slots {
		*k = knee{next: k.next, starts: k.starts, slots: slots, steps: min(max(slots, 1), maxSteps)}
		clear(k.starts)
	}
	k.next++
	step := min(max((inFlight*k.steps-1)/max(slots, 1), 0), k.steps-1)
	k.starts[k.next%recentStarts] = start{ticket: k.next, at: now, step: step}
	return k.next
}

func (k *knee) finished(now time.Time, t Ticket, logRatio float64) {
	if t == 0 {
		return
	}
	s := &k.starts[t%recentStarts]
	if s.ticket != t || s.finished {
		return
	}
	s.finished, s.logRatio = true, logRatio
	for _, distance := range comparedDistances {
		o := &k.starts[(t+distance)%recentStarts]
		if o.ticket != t+distance || !o.finished || max(s.at.Sub(o.at), o.at.Sub(s.at)) > maxStartGap {
			continue
		}
		switch s.step - o.step {
		case 1:
			k.above[s.step].add(now, s.logRatio-o.logRatio)
		case -1:
			k.above[o.step].add(now, o.logRatio-s.logRatio)
		}
	}
}

func (d *difference) add(now time.Time, sample float64) {
	d.fade(now)
	d.pairs++
	gain := 1 / float64(min(d.pairs, rememberedPairs))
	deviation := sample - d.mean
	d.mean += gain * deviation
	d.variance += gain * (deviation*deviation - d.variance)
}

// fade lets an old difference vanish.
func (d *difference) fade(now time.Time) {
	if !d.at.IsZero() {
		d.mean *= math.Exp(-max(now.Sub(d.at), 0).Seconds() / forgetAfter.Seconds())
	}
	d.at = now
}

// significant returns the difference if there is enough evidence that it is above 0, else 0.
func (d *difference) significant(now time.Time) float64 {
	if d.pairs < minPairs {
		return 0
	}
	if d.mean < minSignificance*math.Sqrt(d.variance/float64(min(d.pairs, rememberedPairs))) {
		return 0
	}
	return d.mean * math.Exp(-max(now.Sub(d.at), 0).Seconds()/forgetAfter.Seconds())
}

// limit returns the lowest number of concurrent requests with nearly the highest throughput, at most ceiling.
func (k *knee) limit(now time.Time, ceiling, slots int) int {
	if age := now.Sub(k.computed); k.computed.IsZero() || age >= limitInterval || age < 0 {
		k.share, k.computed = k.wellShare(now, float64(ceiling)/float64(max(slots, 1))), now
	}
	return max(min(ceiling, int(k.share*float64(slots)+1e-9)), 1)
}

// wellShare returns the share of the slots up to which the target handles requests well.
func (k *knee) wellShare(now time.Time, ceiling float64) float64 {
	longer, best := 0.0, ceiling
	// The throughput at a share of the slots, in relation to that of all slots at the usual time.
	var throughput [maxSteps]float64
	highest := 0.0
	found := false
	for step := range k.steps {
		d := k.above[step].significant(now)
		longer += d
		found = found || d > 0
		throughput[step] = min(float64(step+1)/float64(k.steps), ceiling) * math.Exp(-longer)
		highest = max(highest, throughput[step])
	}
	if !found {
		return ceiling
	}
	for step := range k.steps - 1 {
		// Only a step right below a knee is a limit; throughput grows with the slots everywhere else.
		if k.above[step+1].significant(now) > 0 && throughput[step] >= wellShare*highest {
			best = float64(step+1) / float64(k.steps)
			break
		}
	}
	return max(min(best, ceiling), minLimitShare)
}
