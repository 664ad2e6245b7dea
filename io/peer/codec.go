package peer

import (
	"math"
	"net/http"
	"time"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/io/peer/peerpb"
)

// EncodeHeader converts a header to its protobuf form.
func EncodeHeader(header http.Header) []*peerpb.Field {
	fields := make([]*peerpb.Field, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, &peerpb.Field{Name: name, Value: []byte(value)})
		}
	}
	return fields
}

// DecodeHeader is the inverse of EncodeHeader.
func DecodeHeader(fields []*peerpb.Field) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header[field.Name] = append(header[field.Name], string(field.Value))
	}
	return header
}

// DecodeLoad converts a gate's load from its protobuf form. A nil message yields a
// zero Load.
func DecodeLoad(load *peerpb.Load) admit.Load {
	return admit.Load{
		Running:          int(load.GetRunning()),
		Queued:           int(load.GetQueued()),
		Slots:            int(load.GetSlots()),
		ServiceTime:      time.Duration(load.GetServiceMicroseconds()) * time.Microsecond,
		Draining:         load.GetDraining(),
		Slowness:         float64(load.GetSlowness()) / 100,
		SlotInterval:     time.Duration(load.GetTurnMicroseconds()) * time.Microsecond,
		ClassServiceTime: time.Duration(load.GetWorkMicroseconds()) * time.Microsecond,
		RateLimit:        decodeRateLimit(load.GetRateLimit()),
		RateDelay:        time.Duration(load.GetRateDelayMicroseconds()) * time.Microsecond,
	}
}

func decodeRateLimit(limit *peerpb.RateLimit) admit.RateLimit {
	return admit.RateLimit{InForce: limit.GetInForce(), PerSecond: limit.GetPerSecond(), StartedAt: limit.GetUpstreamStarted()}
}

// EncodeRateLimit converts a rate limit to its protobuf form: nil if none was ever named.
func EncodeRateLimit(limit admit.RateLimit) *peerpb.RateLimit {
	if limit == (admit.RateLimit{}) {
		return nil
	}
	return &peerpb.RateLimit{InForce: limit.InForce, PerSecond: limit.PerSecond, UpstreamStarted: limit.StartedAt}
}

func encodeLoad(load admit.Load) *peerpb.Load {
	return &peerpb.Load{
		Running:               int32(load.Running),
		Queued:                int32(load.Queued),
		Slots:                 int32(load.Slots),
		ServiceMicroseconds:   load.ServiceTime.Microseconds(),
		Draining:              load.Draining || load.Evacuated,
		Slowness:              int32(math.Round(load.Slowness * 100)),
		TurnMicroseconds:      load.SlotInterval.Microseconds(),
		WorkMicroseconds:      load.ClassServiceTime.Microseconds(),
		RateLimit:             EncodeRateLimit(load.RateLimit),
		RateDelayMicroseconds: load.RateDelay.Microseconds(),
	}
}

func encodeKey(key kernel.Key) *peerpb.Key {
	return &peerpb.Key{Kind: uint32(key.Kind), Name: key.Name}
}

func decodeKey(key *peerpb.Key) kernel.Key {
	return kernel.Key{Kind: kernel.Kind(key.GetKind()), Name: key.GetName()}
}

// EncodeEnvelope converts a kernel's envelope to its protobuf form.
func EncodeEnvelope(envelope kernel.Envelope) *peerpb.Envelope {
	// The digest of the table is called root on the wire.
	message := &peerpb.Envelope{From: envelope.From, Root: envelope.TableDigest, Buckets: envelope.BucketDigests}
	for _, bucket := range envelope.ComparedBuckets {
		message.Compared = append(message.Compared, uint32(bucket))
	}
	for _, version := range envelope.Versions {
		message.Versions = append(message.Versions, &peerpb.KeyVersion{Key: encodeKey(version.Key), Version: version.Version})
	}
	for _, key := range envelope.Wanted {
		message.Wanted = append(message.Wanted, encodeKey(key))
	}
	for _, record := range envelope.Records {
		message.Records = append(message.Records, &peerpb.Record{Key: encodeKey(record.Key), Version: record.Version, Body: record.Body})
	}
	return message
}

// DecodeEnvelope is the inverse of EncodeEnvelope.
func DecodeEnvelope(message *peerpb.Envelope) kernel.Envelope {
	envelope := kernel.Envelope{From: message.GetFrom(), TableDigest: message.GetRoot(), BucketDigests: message.GetBuckets()}
	for _, bucket := range message.GetCompared() {
		envelope.ComparedBuckets = append(envelope.ComparedBuckets, int(bucket))
	}
	for _, version := range message.GetVersions() {
		envelope.Versions = append(envelope.Versions, kernel.KeyVersion{Key: decodeKey(version.GetKey()), Version: version.GetVersion()})
	}
	for _, key := range message.GetWanted() {
		envelope.Wanted = append(envelope.Wanted, decodeKey(key))
	}
	for _, record := range message.GetRecords() {
		envelope.Records = append(envelope.Records, kernel.Record{Key: decodeKey(record.GetKey()), Version: record.GetVersion(), Body: record.GetBody()})
	}
	return envelope
}
