package peer

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"ibislift/core/admit"
	"ibislift/core/quota"
	"ibislift/io/peer/peerpb"
)

// Limits on load reports.
const (
	// maxSubscribers limits the number of ingresses that a gate reports to, so
	// that the cost does not grow with the fleet.
	maxSubscribers = 64
	// reportBytesPerSecond limits the reports that a gate sends. A daemon may
	// use 21 KB/s for control traffic, of which 18 KB/s remain for reports.
	// Half of that is for sending, because a daemon receives as much as it
	// sends on average. A report beyond the limit is postponed to the next call
	// of ReportIfChanged.
	reportBytesPerSecond = 9_000
	reportBurst          = reportBytesPerSecond / 4
	// datagramOverhead is the size of the IP and UDP headers.
	datagramOverhead = 28
)

// Reporter sends changes in this gate's load to the ingresses that have recently
// forwarded requests to it. The load that comes with responses is too infrequent
// to follow the changes. Set the fields before calling Run.
type Reporter struct {
	Self string
	// Service returns the service of the local upstream, and Load the load of
	// its gate.
	Service func() string
	Load    func() admit.Load
	// InSameRegion reports whether the daemon at an address is in the same region
	// as this one.
	InSameRegion func(address string) bool
	// CountBytes, if set, is called for each report.
	CountBytes CountBytes
	// OnReport is called with each report of another gate.
	OnReport func(from, service string, load admit.Load)
	// OnQuota, if set, is called with the messages about quotas of another daemon.
	OnQuota func(from string, messages []quota.Message)

	mutex        sync.Mutex
	socket       *net.UDPConn
	subscribers  map[string]*subscriber
	lastReported admit.Load
	lastCheckAt  time.Time
	byteLimiter  *rate.Limiter
}

// subscriber is an ingress to which reports are sent.
type subscriber struct {
	address       netip.AddrPort
	sameRegion    bool
	lastRequestAt time.Time
	reportedAt    time.Time
	// pending is set while a change has not been reported.
	pending bool
}

// Listen opens the UDP socket on which reports are sent and received.
func (reporter *Reporter) Listen(address string) error {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return Error.Wrap(err)
	}
	reporter.mutex.Lock()
	reporter.socket = socket
	reporter.subscribers = map[string]*subscriber{}
	reporter.byteLimiter = rate.NewLimiter(reportBytesPerSecond, reportBurst)
	reporter.mutex.Unlock()
	return nil
}

// Run receives reports until the context ends.
func (reporter *Reporter) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = reporter.socket.Close() })
	// If a datagram arrives while the context ends, stop may keep the function above from
	// running, and the socket would stay open.
	defer func() { stop(); _ = reporter.socket.Close() }()
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, from, err := reporter.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// If a sent datagram could not be delivered, the next read returns
			// the error.
			continue
		}
		datagram := &peerpb.Datagram{}
		if proto.Unmarshal(buffer[:count], datagram) != nil {
			reporter.CountBytes.count("in", BytesReport, from.String(), count+datagramOverhead)
			continue
		}
		if messages := quotaMessages(datagram); len(messages) > 0 {
			reporter.CountBytes.count("in", BytesQuota, from.String(), count+datagramOverhead)
			if reporter.OnQuota != nil {
				reporter.OnQuota(datagram.GetFrom(), messages)
			}
			continue
		}
		reporter.CountBytes.count("in", BytesReport, from.String(), count+datagramOverhead)
		reporter.OnReport(datagram.GetFrom(), datagram.GetService(), DecodeLoad(datagram.GetLoad()))
	}
}

// Subscribe records that the ingress at an address has forwarded a request. It
// gets reports for admit.SubscriptionTime.
func (reporter *Reporter) Subscribe(address string, at time.Time) {
	if reporter == nil || address == "" {
		return
	}
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	if existing, found := reporter.subscribers[address]; found {
		existing.lastRequestAt = at
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || reporter.socket == nil || len(reporter.subscribers) >= maxSubscribers {
		return
	}
	reporter.subscribers[address] = &subscriber{address: parsed, sameRegion: reporter.InSameRegion(address), lastRequestAt: at}
}

// ReportIfChanged reports the load if it has changed enough since the last report.
// It also sends reports that are still pending.
func (reporter *Reporter) ReportIfChanged(at time.Time) {
	if reporter == nil {
		return
	}
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	if reporter.socket == nil || at.Sub(reporter.lastCheckAt) < admit.MinReportInterval {
		return
	}
	load := reporter.Load()
	if load.NeedsReport(reporter.lastReported) {
		reporter.lastReported = load
		for _, subscriber := range reporter.subscribers {
			subscriber.pending = true
		}
	}
	reporter.lastCheckAt = at
	reporter.sendPending(load, at)
}

// sendPending sends the load to the subscribers with a pending report. The caller
// holds the mutex.
func (reporter *Reporter) sendPending(load admit.Load, at time.Time) {
	var datagram []byte
	maps.DeleteFunc(reporter.subscribers, func(_ string, subscriber *subscriber) bool {
		return at.Sub(subscriber.lastRequestAt) > admit.SubscriptionTime
	})
	// The subscribers whose last report is the oldest come first.
	addresses := slices.SortedFunc(maps.Keys(reporter.subscribers), func(first, second string) int {
		return reporter.subscribers[first].reportedAt.Compare(reporter.subscribers[second].reportedAt)
	})
	for _, address := range addresses {
		subscriber := reporter.subscribers[address]
		if !subscriber.pending || !subscriber.sameRegion && at.Sub(subscriber.reportedAt) < admit.MinCrossRegionReportInterval {
			continue
		}
		if datagram == nil {
			report := &peerpb.Datagram{From: reporter.Self, Service: reporter.Service(), Load: encodeLoad(load)}
			encoded, err := proto.Marshal(report)
			if err != nil {
				return
			}
			datagram = encoded
		}
		if !reporter.byteLimiter.AllowN(at, len(datagram)+datagramOverhead) {
			return
		}
		subscriber.pending = false
		subscriber.reportedAt = at
		// Write errors are ignored, since the next report replaces a lost one.
		_, _ = reporter.socket.WriteToUDPAddrPort(datagram, subscriber.address)
		reporter.CountBytes.count("out", BytesReport, address, len(datagram)+datagramOverhead)
	}
}
