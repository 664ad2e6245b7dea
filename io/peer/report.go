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
	"ibislift/io/peer/peerpb"
)

// Bounds of load reports.
const (
	// maxSubscribers bounds the entries that a gate reports to, so that its
	// cost does not grow with the fleet.
	maxSubscribers = 64
	// reportBytesPerSecond bounds what a gate sends: of the 21 KB a second of a
	// daemon's control, 18 are left for reports, and what is sent is received
	// by others. A report that is put off for it is told with the next look.
	reportBytesPerSecond = 9_000
	reportBurst          = reportBytesPerSecond / 4
	// datagramOverhead is what IP and UDP add to a datagram.
	datagramOverhead = 28
	// maxReportBytes bounds a datagram.
	maxReportBytes = 512
)

// Reporter tells the entries that have sent requests lately of changes in this
// gate's load, since answers alone come too seldom to follow them. Set the
// fields before Run.
type Reporter struct {
	Self string
	// Service names the upstream beside, Load its gate's load.
	Service func() string
	Load    func() admit.Load
	// IsNear says whether an address is in the own region.
	IsNear func(address string) bool
	// Count, if it is set, gets the direction, "in" or "out", the other
	// daemon's address and the bytes of each report.
	Count func(direction, address string, bytes int)
	// Received takes the reports of other gates.
	Received func(from, service string, load admit.Load)

	mutex       sync.Mutex
	socket      *net.UDPConn
	subscribers map[string]*subscriber
	last        admit.Load
	lastAt      time.Time
	bytes       *rate.Limiter
}

// subscriber is an entry that gets reports.
type subscriber struct {
	address netip.AddrPort
	near    bool
	asked   time.Time
	told    time.Time
	// behind says that a change has not been told yet.
	behind bool
}

// Listen opens the socket.
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
	reporter.bytes = rate.NewLimiter(reportBytesPerSecond, reportBurst)
	reporter.mutex.Unlock()
	return nil
}

// Run takes reports until the context ends.
func (reporter *Reporter) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = reporter.socket.Close() })
	defer stop()
	buffer := make([]byte, maxReportBytes)
	for {
		count, from, err := reporter.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// A datagram that could not be delivered shows as an error of the
			// next read.
			continue
		}
		reporter.count("in", from.String(), count)
		report := &peerpb.LoadReport{}
		if proto.Unmarshal(buffer[:count], report) == nil {
			reporter.Received(report.GetFrom(), report.GetService(), LoadOf(report.GetLoad()))
		}
	}
}

// Subscribe notes that an entry has sent a request.
func (reporter *Reporter) Subscribe(address string, at time.Time) {
	if reporter == nil || address == "" {
		return
	}
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	if known, found := reporter.subscribers[address]; found {
		known.asked = at
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || reporter.socket == nil || len(reporter.subscribers) >= maxSubscribers {
		return
	}
	reporter.subscribers[address] = &subscriber{address: parsed, near: reporter.IsNear(address), asked: at}
}

// Check reports the load if it has changed by enough since the last report.
func (reporter *Reporter) Check(at time.Time) {
	if reporter == nil {
		return
	}
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	if reporter.socket == nil || at.Sub(reporter.lastAt) < admit.MinReportInterval {
		return
	}
	load := reporter.Load()
	if load.NeedsReport(reporter.last) {
		reporter.last = load
		for _, subscriber := range reporter.subscribers {
			subscriber.behind = true
		}
	}
	reporter.lastAt = at
	reporter.tell(load, at)
}

// tell sends the load to the subscribers that are behind. The mutex is held.
func (reporter *Reporter) tell(load admit.Load, at time.Time) {
	var datagram []byte
	maps.DeleteFunc(reporter.subscribers, func(_ string, subscriber *subscriber) bool {
		return at.Sub(subscriber.asked) > admit.SubscriptionTime
	})
	// Those who were told longest ago come first.
	addresses := slices.SortedFunc(maps.Keys(reporter.subscribers), func(one, other string) int {
		return reporter.subscribers[one].told.Compare(reporter.subscribers[other].told)
	})
	for _, address := range addresses {
		subscriber := reporter.subscribers[address]
		if !subscriber.behind || !subscriber.near && at.Sub(subscriber.told) < admit.MinCrossRegionReportInterval {
			continue
		}
		if datagram == nil {
			report := &peerpb.LoadReport{From: reporter.Self, Service: reporter.Service(), Load: loadMessage(load)}
			encoded, err := proto.Marshal(report)
			if err != nil {
				return
			}
			datagram = encoded
		}
		if !reporter.bytes.AllowN(at, len(datagram)+datagramOverhead) {
			return
		}
		subscriber.behind = false
		subscriber.told = at
		// A report that is lost is replaced by the next one.
		_, _ = reporter.socket.WriteToUDPAddrPort(datagram, subscriber.address)
		reporter.count("out", address, len(datagram))
	}
}

func (reporter *Reporter) count(direction, address string, bytes int) {
	if reporter.Count != nil {
		reporter.Count(direction, address, bytes)
	}
}
