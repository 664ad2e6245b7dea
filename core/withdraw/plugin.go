package withdraw

import (
	"time"

	"ibislift/core/kernel"
)

// contactTimeout is how long after the last message from any other daemon this one still
// considers itself connected. Each daemon exchanges messages every second.
const contactTimeout = 2500 * time.Millisecond

func init() {
	kernel.Register("withdraw", func() kernel.Plugin { return &plugin{} })
}

type plugin struct {
	decision    Decision
	lastContact time.Time
}

// Accepts accepts all records. The claims are part of the member records.
func (plugin *plugin) Accepts(time.Time, kernel.Record) bool { return true }

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	if state.Settings.WithdrawAfter <= 0 {
		return nil
	}
	switch message := event.Message.(type) {
	case kernel.Started:
		plugin.decision = Decision{Name: state.Settings.Self, After: state.Settings.WithdrawAfter}
	case kernel.EnvelopeReceived, kernel.PeerReplied:
		plugin.lastContact = event.At
	case kernel.TimerLatenessMeasured:
		plugin.decision.RecordTimerLateness(event.At, message.Late)
	case kernel.Ticked:
		return plugin.tick(state, event.At)
	}
	return nil
}

func (plugin *plugin) tick(state *kernel.State, at time.Time) []kernel.Effect {
	var members []Member
	if plugin.decision.NeedsMembers() {
		members = membersOf(state.DataCentreMembers)
	}
	order := plugin.decision.Order()
	if !plugin.decision.Tick(at, members, at.Sub(plugin.lastContact) <= contactTimeout) {
		return nil
	}
	state.ViewDirty = true
	if order == plugin.decision.Order() {
		return nil
	}
	return []kernel.Effect{kernel.Dispatch{Message: kernel.WithdrawalClaimed{Order: plugin.decision.Order()}}}
}

func membersOf(records []kernel.Member) []Member {
	members := make([]Member, 0, len(records))
	for _, member := range records {
		available := member.State == kernel.MemberAlive && !member.Leaving
		members = append(members, Member{Name: member.ID, Order: member.WithdrawalOrder, Available: available})
	}
	return members
}

// FillView sets whether this daemon is withdrawn from callers.
func (plugin *plugin) FillView(view *kernel.View) {
	view.Withdrawal = kernel.Withdrawal{Since: plugin.decision.Since(), Until: plugin.decision.Until(), Reason: plugin.decision.Reason()}
}
