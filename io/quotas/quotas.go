// Package quotas drives the state machine of package core/quota: it passes requests of
// callers, datagrams of other daemons, views and time to it, and sends what it wants to
// send.
//
// # Usage
//
//	driver := &quotas.Quotas{Self: "a", Settings: settings, View: view, Send: reporter.SendQuota, Log: log}
//	reporter.OnQuota = driver.Receive
//	go driver.Run(ctx)
//	decision := driver.Take(ctx, workspace, deadline)
package quotas

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/quota"
	"ibislift/core/routes"
)

// idleInterval is the time between two looks at the view while no quota is in use.
const idleInterval = 100 * time.Millisecond

// processStart is the origin of the clock where the system has none that suits.
var processStart = time.Now()

// Quotas keeps the quotas of workspaces. Set the exported fields before the first use. It
// is safe for concurrent use.
type Quotas struct {
	Self string
	// Epoch is the start time of the daemon in Unix milliseconds. It must exceed that of
	// earlier processes of the daemon.
	Epoch    int64
	Settings quota.Settings
	View     func() *kernel.View
	// Send sends messages to the daemon at an address.
	Send func(address string, messages []quota.Message)
	Log  *slog.Logger
	// Clock is the function Clock, unless a test replaces it.
	Clock func() time.Duration

	mutex   sync.Mutex
	machine *quota.Quota
	waiting map[uint64]chan quota.Decision
	lastID  uint64
	view    *kernel.View
	// addresses holds the peer addresses of the members by ID.
	addresses map[string]string
	// table is the route table that limits belong to.
	table  *routes.Table
	limits map[string]quota.Limit
}

// sequenceBits are the bits of a sequence number that count within a process. The others
// hold the start of the process, in milliseconds.
const sequenceBits = 20

// Run advances the state machine until the context ends.
func (quotas *Quotas) Run(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			interval := idleInterval
			if quotas.tick() {
				interval = quota.TickInterval
			}
			timer.Reset(interval)
		}
	}
}

// tick applies a changed view and the time, and reports whether quotas are in use.
func (quotas *Quotas) tick() bool {
	quotas.mutex.Lock()
	quotas.prepare()
	active := quotas.machine.Active()
	var outgoing outgoing
	if active {
		outgoing = quotas.update(quota.Ticked{At: quotas.now()})
	}
	quotas.mutex.Unlock()
	quotas.flush(outgoing)
	return active
}

// Take takes a token for a request of a workspace. It waits for a reply of the owner for
// at most quota.MaxWait, until the deadline, and while the context lasts.
func (quotas *Quotas) Take(ctx context.Context, workspace *routes.Workspace, deadline time.Time) quota.Decision {
	reply := make(chan quota.Decision, 1)
	id := quotas.want(quota.TokenWanted{Workspace: workspace.Name}, time.Until(deadline), reply)
	select {
	case decision := <-reply:
		return decision
	case <-ctx.Done():
		return quotas.withdraw(workspace, id, reply)
	}
}

// TryTake takes a token if this daemon has one.
func (quotas *Quotas) TryTake(workspace *routes.Workspace) quota.Decision {
	reply := make(chan quota.Decision, 1)
	quotas.want(quota.TokenWanted{Workspace: workspace.Name, Immediate: true}, 0, reply)
	return <-reply
}

// Peek returns a refusal if this daemon refuses requests of the workspace now. It takes no
// token.
func (quotas *Quotas) Peek(workspace *routes.Workspace) quota.Decision {
	reply := make(chan quota.Decision, 1)
	quotas.want(quota.TokenWanted{Workspace: workspace.Name, Peek: true}, 0, reply)
	return <-reply
}

func (quotas *Quotas) want(wanted quota.TokenWanted, wait time.Duration, reply chan quota.Decision) uint64 {
	quotas.mutex.Lock()
	quotas.prepare()
	quotas.lastID++
	id := quotas.lastID
	quotas.waiting[id] = reply
	wanted.At, wanted.ID = quotas.now(), id
	wanted.Deadline = wanted.At + wait
	outgoing := quotas.update(wanted)
	quotas.mutex.Unlock()
	quotas.flush(outgoing)
	return id
}

// withdraw ends the wait for a token. A token that was granted meanwhile is returned.
func (quotas *Quotas) withdraw(workspace *routes.Workspace, id uint64, reply chan quota.Decision) quota.Decision {
	quotas.mutex.Lock()
	outgoing := quotas.update(quota.WaitEnded{At: quotas.now(), ID: id, Workspace: workspace.Name})
	delete(quotas.waiting, id)
	quotas.mutex.Unlock()
	quotas.flush(outgoing)
	select {
	case decision := <-reply:
		quotas.GiveBack(workspace, decision)
	default:
	}
	return quota.Decision{Verdict: quota.Unreachable}
}

// GiveBack returns the token of a request that did not reach a target.
func (quotas *Quotas) GiveBack(workspace *routes.Workspace, decision quota.Decision) {
	if decision.Verdict != quota.Granted {
		return
	}
	quotas.mutex.Lock()
	quotas.prepare()
	outgoing := quotas.update(quota.TokenReturned{At: quotas.now(), Workspace: workspace.Name, Expires: decision.Expires})
	quotas.mutex.Unlock()
	quotas.flush(outgoing)
}

// Receive processes the messages of another daemon.
func (quotas *Quotas) Receive(from string, messages []quota.Message) {
	if from == quotas.Self {
		return // A datagram with the own name can only be forged or misdirected.
	}
	quotas.mutex.Lock()
	quotas.prepare()
	total := outgoing{}
	for _, message := range messages {
		total.add(quotas.update(quota.MessageReceived{At: quotas.now(), From: from, Message: message}))
	}
	quotas.mutex.Unlock()
	quotas.flush(total)
}

// Stop returns the votes of a daemon that is leaving, so that its successors can grant
// tokens at once.
func (quotas *Quotas) Stop() {
	quotas.mutex.Lock()
	quotas.prepare()
	outgoing := quotas.update(quota.Stopping{At: quotas.now()})
	quotas.mutex.Unlock()
	quotas.flush(outgoing)
}

// Counts returns totals and sizes for metrics.
func (quotas *Quotas) Counts() quota.Counts {
	quotas.mutex.Lock()
	defer quotas.mutex.Unlock()
	quotas.prepare()
	return quotas.machine.Counts()
}

func (quotas *Quotas) now() time.Duration {
	if quotas.Clock != nil {
		return quotas.Clock()
	}
	return Clock()
}

// prepare creates the state machine and applies a changed view. The caller holds the
// mutex.
func (quotas *Quotas) prepare() {
	if quotas.machine == nil {
		quotas.waiting = map[uint64]chan quota.Decision{}
		quotas.machine = &quota.Quota{
			Self: quotas.Self, Settings: quotas.Settings,
			FirstSequence: uint64(quotas.Epoch) << sequenceBits, StartedAt: quotas.now(),
		}
	}
	view := quotas.View()
	if view == quotas.view {
		return
	}
	quotas.view = view
	if view.Routes != quotas.table || quotas.limits == nil {
		quotas.table, quotas.limits = view.Routes, limitsOf(view.Routes)
	}
	members := make([]quota.Member, 0, len(view.Members))
	quotas.addresses = make(map[string]string, len(view.Members))
	for _, member := range view.Members {
		quotas.addresses[member.ID] = member.PeerAddress
		dead := member.State == kernel.MemberDead
		members = append(members, quota.Member{ID: member.ID, Live: !dead && !member.Leaving, Left: dead && member.Leaving, Region: member.Region})
	}
	// The change of the fleet alone makes no effects.
	_ = quotas.machine.Update(quota.FleetChanged{At: quotas.now(), Members: members, Limits: quotas.limits, Joined: view.Synced})
}

// limitsOf returns the limits of a table by workspace.
func limitsOf(table *routes.Table) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	if table == nil {
		return limits
	}
	for _, workspace := range table.Workspaces {
		if workspace.Rate > 0 {
			limits[workspace.Name] = quota.Limit{Rate: workspace.Rate, Burst: workspace.Burst}
		}
	}
	return limits
}

// outgoing holds messages by the address that they are for.
type outgoing map[string][]quota.Message

func (outgoing outgoing) add(other outgoing) {
	for address, messages := range other {
		outgoing[address] = append(outgoing[address], messages...)
	}
}

// update applies an event, delivers decisions and notices, and returns the messages to
// send after the mutex has been released. The caller holds the mutex.
func (quotas *Quotas) update(event quota.Event) outgoing {
	messages := outgoing{}
	for _, effect := range quotas.machine.Update(event) {
		switch effect := effect.(type) {
		case quota.Send:
			if address, known := quotas.addresses[effect.To]; known {
				messages[address] = append(messages[address], effect.Message)
			}
		case quota.Decide:
			if reply, found := quotas.waiting[effect.ID]; found {
				delete(quotas.waiting, effect.ID)
				reply <- effect.Decision
			}
		case quota.Notify:
			quotas.report(effect)
		}
	}
	return messages
}

func (quotas *Quotas) flush(messages outgoing) {
	for address, list := range messages {
		quotas.Send(address, list)
	}
}

// report logs a change.
func (quotas *Quotas) report(notice quota.Notify) {
	switch notice.Kind {
	case quota.NoticeUnresponsive:
		quotas.Log.Warn(string(notice.Kind), "member", notice.Member, "workspace", notice.Workspace)
	case quota.NoticeOwning:
		quotas.Log.Info(string(notice.Kind), "slot", notice.Slot, "votes", notice.Votes)
	case quota.NoticeLimited, quota.NoticeUnlimited:
		quotas.Log.Info(string(notice.Kind), "workspace", notice.Workspace, "member", notice.Member)
	}
}
