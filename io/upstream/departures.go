package upstream

// maxDepartures is the number of departed instances that are remembered.
const maxDepartures = 64

// departures records the instances that have announced that they are leaving,
// so that a delayed announcement doesn't register them again.
type departures struct {
	// order holds the instances in the order in which they were added.
	order []string
	// startedAt is when each instance started, in Unix milliseconds, or 0 if
	// that isn't known.
	startedAt map[string]int64
}

// add records an instance and drops the oldest one if there are too many. A
// start time of 0 means that it isn't known.
func (departures *departures) add(instance string, startedAt int64) {
	if instance == "" {
		return
	}
	if departures.startedAt == nil {
		departures.startedAt = map[string]int64{}
	}
	if _, found := departures.startedAt[instance]; !found {
		departures.order = append(departures.order, instance)
	}
	departures.startedAt[instance] = max(departures.startedAt[instance], startedAt)
	if len(departures.order) > maxDepartures {
		delete(departures.startedAt, departures.order[0])
		departures.order = departures.order[1:]
	}
}

// includes reports whether an announcement comes from an instance that has
// left. A later start time under the same name means another run, which has not
// left. If the start time of the departed run isn't known, the start time of the
// next announcement is assumed.
func (departures *departures) includes(announcement Announcement) bool {
	startedAt, found := departures.startedAt[announcement.Instance]
	if !found || announcement.Instance == "" {
		return false
	}
	if startedAt == 0 {
		departures.startedAt[announcement.Instance] = announcement.StartedAt
		return true
	}
	return announcement.StartedAt <= startedAt
}
