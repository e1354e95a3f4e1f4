package route

import "time"

// recordFailure records a failure and ejects the target if it has failed enough and the cap on ejections allows it.
func (p *Picker) recordFailure(now int64, e entry, weight int) {
	m := e.targetStats
	if !m.health.fail(weight) || now < m.ejectedUntilNs.Load() || !p.mayEject(now) {
		return
	}
	until := m.health.eject(p.origin.Add(time.Duration(now)))
	end := int64(until.Sub(p.origin))
	m.ejectedUntilNs.Store(end)
	m.slowStartFromNs.Store(end)
	if p.config.OnEject != nil {
		p.config.OnEject(e.target, time.Duration(end-now))
	}
}

// mayEject reports whether one more target may be ejected. Two targets that fail at the same
// instant may exceed the cap by one.
func (p *Picker) mayEject(now int64) bool {
	t := p.table.Load()
	ejected := 0
	for _, entries := range [][]entry{t.local, t.remote} {
		for i := range entries {
			if now < entries[i].ejectedUntilNs.Load() {
				ejected++
			}
		}
	}
	total := len(t.local) + len(t.remote)
	allowed := int(p.config.MaxEjected * float64(total))
	if total > 1 && p.config.MaxEjected > 0 {
		allowed = max(allowed, 1)
	}
	return ejected < allowed
}
