package peer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"ibislift/core/admit"
	"ibislift/io/peer/peerpb"
	"ibislift/io/upstream"
)

// Size limits of the body parts sent between daemons, in bytes.
const (
	// MaxChunkSize is the maximum size of one part of a streamed body.
	MaxChunkSize = 32 << 10
	// MaxInlineBodySize is the maximum size of a body that is sent in the same
	// frame as its head.
	MaxInlineBodySize = 64 << 10
	// MaxEagerBodySize is the maximum size of a body that is sent before a gate has
	// granted a slot. Most requests that a busy service refuses are refused by several
	// gates, and each of them would otherwise get a longer body in vain.
	MaxEagerBodySize = 8 << 10
)

// execute sends an admitted request to the upstream and its response to the
// ingress. It reports whether the upstream failed.
func (server *Server) execute(ctx context.Context, stream *requestStream, head *peerpb.CallHead, deadline time.Time) (bool, error) {
	request, err := server.upstreamRequest(ctx, stream, head, deadline)
	if err != nil {
		return true, server.refuse(stream, admit.ReasonCancelled, 0)
	}
	interim := func(interim *http.Response) {
		_ = stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Interim{Interim: encodeHead(interim)}})
	}
	handedOverAt := server.Gate.Now()
	do := server.Upstream.Do
	if head.GetReserve() {
		do = server.Upstream.DoNonRepeatable
	}
	response, err := do(ctx, request, interim)
	switch {
	case upstream.NotHandedOver(err):
		server.checkCrash()
		return true, server.refuse(stream, admit.ReasonNoUpstream, time.Second)
	case err != nil:
		if ctx.Err() != nil {
			stream.admission.MarkCancelled()
		}
		server.log(stream, slog.LevelInfo, "upstream failed", "error", err.Error(), "left", deadline.Sub(server.Gate.Now()), "givenUp", ctx.Err() != nil)
		return true, server.sendLoss(stream, ctx.Err() == nil && server.checkCrash())
	}
	kind := server.classifyResponse(response)
	leaving := false
	if kind == responseNormal || kind == responseNotRun {
		leaving = server.recordStatements(response, handedOverAt)
		server.recordLoad(stream, response, handedOverAt)
	}
	if kind != responseNormal {
		if kind == responseNotRun || kind == responseMisdirected {
			response.Refuse()
		} else {
			response.Abort()
		}
		return true, server.sendFailure(stream, kind, response.Response)
	}
	failed, err := server.relay(stream, response, leaving)
	if ctx.Err() != nil && (failed || err != nil) {
		stream.admission.MarkCancelled()
	}
	return failed, err
}

// relay sends a response to the ingress. It reports whether the upstream failed.
func (server *Server) relay(stream *requestStream, response *upstream.Response, leaving bool) (bool, error) {
	if response.ContentLength >= 0 && response.ContentLength <= MaxInlineBodySize && len(response.Trailer) == 0 {
		return server.sendComplete(stream, response, leaving)
	}
	return server.sendStreamed(stream, response, leaving)
}

// upstreamRequest builds the request to the upstream. Its deadline header holds
// the time that remains now.
func (server *Server) upstreamRequest(ctx context.Context, stream *requestStream, head *peerpb.CallHead, deadline time.Time) (*http.Request, error) {
	target, err := url.ParseRequestURI(string(head.GetTarget()))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	preserveEscaping(target, string(head.GetTarget()))
	request := &http.Request{
		Method:        head.GetMethod(),
		URL:           target,
		Host:          head.GetHost(),
		Header:        DecodeHeader(head.GetHeaders()),
		ContentLength: head.GetContentLength(),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	remaining := deadline.Sub(server.Gate.Now())
	dialect := server.Upstream.EffectiveDialect()
	request.Header.Set(dialect.Deadline, dialect.FormatDeadline(max(time.Millisecond, remaining)))
	request.Header.Set(dialect.RequestID, string(head.GetRequestId()))
	if instance := server.Upstream.ExpectedInstance(); instance != "" && dialect.Instance != "" {
		request.Header.Set(dialect.Instance, instance)
	}
	if _, found := request.Header["User-Agent"]; !found {
		request.Header.Set("User-Agent", "")
	}
	switch {
	case head.GetBodyFollows():
		request.Body = &frameReader{stream: stream, request: request}
	case len(stream.committedBody) > 0:
		request.Body = inlineBody(stream.committedBody)
	case len(head.GetBody()) > 0:
		request.Body = inlineBody(head.GetBody())
	}
	return request.WithContext(ctx), nil
}

// preserveEscaping makes the URL keep the path as it was received. Otherwise
// net/url could write its escape sequences in a different form.
func preserveEscaping(target *url.URL, rawTarget string) {
	path, _, _ := strings.Cut(rawTarget, "?")
	if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		target.Opaque = path
	}
}

// responseKind is the result of classifyResponse. Responses are relayed only if
// they are responseNormal.
type responseKind uint8

const (
	responseNormal responseKind = iota
	responseNotRun
	responseMisdirected
	responseWithoutProof
)

// classifyResponse separates normal responses from those that say that the
// request has not run or has reached the wrong instance, and from successes
// without the upstream's proof header. It also records the slowness that the
// response reports.
func (server *Server) classifyResponse(response *upstream.Response) responseKind {
	dialect := server.Upstream.EffectiveDialect()
	if dialect.ParseLoad != nil {
		if load, reported := dialect.ParseLoad(response.Header); reported {
			server.Gate.RecordSlowness(load.Slowness)
		}
	}
	switch {
	case dialect.Misdirected != nil && dialect.Misdirected(response.Response):
		return responseMisdirected
	case dialect.NotRun != nil && dialect.NotRun(response.Response):
		return responseNotRun
	case dialect.OriginProof != "" && response.StatusCode < http.StatusMultipleChoices && response.Header.Get(dialect.OriginProof) == "":
		return responseWithoutProof
	default:
		return responseNormal
	}
}

// sendFailure tells the ingress what a response that is not relayed means for the
// request: a refusal if it has not run, else a loss.
func (server *Server) sendFailure(stream *requestStream, kind responseKind, response *http.Response) error {
	switch kind {
	case responseMisdirected:
		server.Control.ReportMisdirected(server.Upstream.ExpectedInstance())
		return server.sendRefusal(stream, admit.ReasonNoUpstream, 0, true)
	case responseNotRun:
		return server.sendRefusal(stream, admit.ReasonUpstreamRefused, parseRetryAfter(response), true)
	default:
		return server.sendLoss(stream, false)
	}
}

// parseRetryAfter returns the Retry-After of a response, or 0 if it is missing or
// invalid.
func parseRetryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxRetryAfter is the maximum accepted Retry-After. Longer ones are ignored.
const maxRetryAfter = time.Minute

// sendComplete sends a short response as one frame. It reads the whole body first,
// so that the ingress gets either the complete response or a loss.
func (server *Server) sendComplete(stream *requestStream, response *upstream.Response, leaving bool) (bool, error) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		response.Abort()
		return true, server.sendLoss(stream, server.checkCrash())
	}
	response.Finish()
	head := encodeHead(response.Response)
	head.Body = body
	head.Complete = true
	head.Leaving = leaving
	head.Load = encodeLoad(server.Gate.LoadForClass(stream.class))
	err = stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Head{Head: head}})
	return isServerFailure(response.StatusCode), Error.Wrap(err)
}

// sendStreamed sends a longer response in parts as they arrive.
func (server *Server) sendStreamed(stream *requestStream, response *upstream.Response, leaving bool) (bool, error) {
	head := encodeHead(response.Response)
	head.Leaving = leaving
	head.Load = encodeLoad(server.Gate.LoadForClass(stream.class))
	if err := stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Head{Head: head}}); err != nil {
		response.Abort()
		return false, Error.Wrap(err)
	}
	for {
		chunk := make([]byte, MaxChunkSize)
		count, err := response.Body.Read(chunk)
		if count > 0 {
			frame := &peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Chunk{Chunk: chunk[:count]}}
			if sendErr := stream.Send(frame); sendErr != nil {
				response.Abort()
				return false, Error.Wrap(sendErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return server.sendEnd(stream, response)
		}
		if err != nil {
			response.Abort()
			return true, server.sendLoss(stream, server.checkCrash())
		}
	}
}

func (server *Server) sendEnd(stream *requestStream, response *upstream.Response) (bool, error) {
	response.Finish()
	end := &peerpb.AnswerEnd{Trailers: EncodeHeader(response.Trailer), Load: encodeLoad(server.Gate.LoadForClass(stream.class))}
	err := stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_End{End: end}})
	return isServerFailure(response.StatusCode), Error.Wrap(err)
}

func isServerFailure(status int) bool { return status >= http.StatusInternalServerError }

func encodeHead(response *http.Response) *peerpb.AnswerHead {
	header := response.Header.Clone()
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	return &peerpb.AnswerHead{
		Status:        int32(response.StatusCode),
		Headers:       EncodeHeader(header),
		ContentLength: response.ContentLength,
	}
}
