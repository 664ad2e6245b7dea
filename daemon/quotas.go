package daemon

import (
	"github.com/zeebo/errs"

	"ibislift/core/quota"
	"ibislift/io/quotas"
)

// buildQuotas connects the quotas of workspaces to the ingress and to the UDP socket of
// the load reports, if the settings enable them.
func (daemon *Daemon) buildQuotas() {
	if !daemon.Settings.Quotas.Enabled() {
		return
	}
	daemon.quotas = &quotas.Quotas{
		Self:     daemon.Settings.Name,
		Epoch:    daemon.startedAt.UnixMilli(),
		Settings: daemon.Settings.Quotas,
		View:     daemon.control.view.Load,
		Send:     daemon.peerServer.Reporter.SendQuota,
		Log:      daemon.Log,
	}
	daemon.ingress.Quotas = daemon.quotas
	daemon.peerServer.Reporter.OnQuota = daemon.quotas.Receive
}

// registerQuotaMetrics registers the metrics of the quotas. They have no labels for
// workspaces, of which there may be thousands.
func (daemon *Daemon) registerQuotaMetrics() error {
	if daemon.quotas == nil {
		return nil
	}
	var group errs.Group
	for _, counter := range []struct {
		name        string
		description string
		value       func(quota.Counts) uint64
	}{
		{"ibislift.quota.granted", "Requests of workspaces that got a token.", func(counts quota.Counts) uint64 { return counts.Granted }},
		{"ibislift.quota.refused", "Requests of workspaces over their quota.", func(counts quota.Counts) uint64 { return counts.Refused }},
		{"ibislift.quota.unavailable", "Requests of workspaces whose owner did not reply.", func(counts quota.Counts) uint64 { return counts.Unreachable }},
		{"ibislift.quota.expired", "Tokens that were not used within their lease.", func(counts quota.Counts) uint64 { return counts.Expired }},
		{"ibislift.quota.asked", "Messages to other daemons for tokens.", func(counts quota.Counts) uint64 { return counts.AsksSent }},
		{"ibislift.quota.asks", "Messages for tokens that this daemon got as owner, its own included.", func(counts quota.Counts) uint64 { return counts.AsksReceived }},
		{"ibislift.quota.votes.asked", "Messages for votes, those to itself included.", func(counts quota.Counts) uint64 { return counts.VotesAsked }},
	} {
		group.Add(daemon.meter.AddCounter(counter.name, counter.description, func() int64 { return int64(counter.value(daemon.quotas.Counts())) }))
	}
	for _, gauge := range []struct {
		name        string
		description string
		value       func(quota.Counts) int
	}{
		{"ibislift.quota.workspaces", "Workspaces whose requests this daemon gets.", func(counts quota.Counts) int { return counts.Holdings }},
		{"ibislift.quota.slots.owned", "Groups of workspaces that this daemon borrows votes for.", func(counts quota.Counts) int { return counts.Owned }},
		{"ibislift.quota.buckets", "Token buckets that this daemon keeps as owner.", func(counts quota.Counts) int { return counts.Buckets }},
	} {
		group.Add(daemon.meter.AddGauge(gauge.name, gauge.description, func() int64 { return int64(gauge.value(daemon.quotas.Counts())) }))
	}
	return group.Err()
}
