package upstream

// maxDepartures bounds the instances that are remembered as gone.
const maxDepartures = 64

// departures remembers the instances that have said that they leave, so that
// a late announcement does not bring them back.
type departures struct {
	order   []string
	started map[string]int64
}

// add remembers an instance. A start of 0 is one that is not known.
func (departures *departures) add(instance string, started int64) {
	if instance == "" {
		return
	}
	if departures.started == nil {
		departures.started = map[string]int64{}
	}
	if _, known := departures.started[instance]; !known {
		departures.order = append(departures.order, instance)
	}
	departures.started[instance] = max(departures.started[instance], started)
	if len(departures.order) > maxDepartures {
		delete(departures.started, departures.order[0])
		departures.order = departures.order[1:]
	}
}

// has says whether an announcement comes from an instance that has left. A
// later start under the same name is another run. Where the start of the run
// that left is not known, the first one that is heard is taken for it.
func (departures *departures) has(announcement Announcement) bool {
	started, known := departures.started[announcement.Instance]
	if !known || announcement.Instance == "" {
		return false
	}
	if started == 0 {
		departures.started[announcement.Instance] = announcement.Started
		return true
	}
	return announcement.Started <= started
}
