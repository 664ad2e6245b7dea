package upstream

// held is the newest announcement that has arrived before Release.
type held struct {
	announcement Announcement
	present      bool
	released     bool
}

// add replaces the announcement by a newer one. An instance that drains does not serve
// again.
func (held *held) add(announcement Announcement) {
	previous := held.announcement
	sameRun := held.present && announcement.Instance == previous.Instance && announcement.StartedAt == previous.StartedAt
	switch {
	case held.present && announcement.StartedAt < previous.StartedAt:
		return
	case sameRun && (previous.Draining || announcement.Sequence < previous.Sequence):
		return
	}
	held.announcement, held.present = announcement, true
}

// Held returns the announcement that is held, if there is one.
func (monitor *Monitor) Held() (Announcement, bool) {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	return monitor.held.announcement, monitor.held.present
}

// Release ends the holding of announcements and accepts the one that is held, unless its
// instance has left. isLeaving marks that one as draining.
func (monitor *Monitor) Release(isLeaving bool) error {
	monitor.mutex.Lock()
	announcement, present := monitor.held.announcement, monitor.held.present
	monitor.held = held{released: true}
	monitor.mutex.Unlock()
	if !present {
		return nil
	}
	announcement.Draining = announcement.Draining || isLeaving
	return monitor.ReceiveAnnouncement(announcement)
}
