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

// Sizes of the parts in which bodies travel, in bytes.
const (
	// ChunkSize is the largest part of a longer body.
	ChunkSize = 32 << 10
	// WholeSize is the largest body that travels with its head.
	WholeSize = 64 << 10
)

// run passes an admitted request to the upstream and its answer to the entry.
// It says whether the upstream failed.
func (server *Server) run(ctx context.Context, stream *gateCall, head *peerpb.CallHead, deadline time.Time) (bool, error) {
	request, err := server.request(ctx, stream, head, deadline)
	if err != nil {
		return true, server.refuse(stream, admit.ReasonCancelled, 0)
	}
	interim := func(interim *http.Response) {
		_ = stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Interim{Interim: headMessage(interim)}})
	}
	do := server.Upstream.Do
	if head.GetReserve() {
		do = server.Upstream.DoOnce
	}
	answer, err := do(ctx, request, interim)
	switch {
	case upstream.NotHandedOver(err):
		server.checkCrash()
		return true, server.refuse(stream, admit.ReasonNoUpstream, time.Second)
	case err != nil:
		server.log(stream, slog.LevelInfo, "upstream failed", "error", err.Error(), "left", deadline.Sub(server.Gate.Now()), "givenUp", ctx.Err() != nil)
		return true, server.lose(stream, ctx.Err() == nil && server.checkCrash())
	}
	if verdict := server.judge(answer); verdict != verdictOwn {
		answer.Abort()
		return true, server.tell(stream, verdict, answer.Response)
	}
	if answer.ContentLength >= 0 && answer.ContentLength <= WholeSize && len(answer.Trailer) == 0 {
		return server.sendWhole(stream, answer)
	}
	return server.sendParts(stream, answer)
}

// request builds the upstream's request. The time left travels on, shortened.
func (server *Server) request(ctx context.Context, stream *gateCall, head *peerpb.CallHead, deadline time.Time) (*http.Request, error) {
	target, err := url.ParseRequestURI(head.GetTarget())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	keepSpelling(target, head.GetTarget())
	request := &http.Request{
		Method:        head.GetMethod(),
		URL:           target,
		Host:          head.GetHost(),
		Header:        HeaderOf(head.GetHeaders()),
		ContentLength: head.GetContentLength(),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	left := deadline.Sub(server.Gate.Now())
	names := server.Upstream.Names()
	request.Header.Set(names.Deadline, names.FormatDeadline(max(time.Millisecond, left)))
	request.Header.Set(names.RequestID, head.GetRequestId())
	if instance := server.Upstream.Expected(); instance != "" && names.Instance != "" {
		request.Header.Set(names.Instance, instance)
	}
	if _, named := request.Header["User-Agent"]; !named {
		request.Header.Set("User-Agent", "")
	}
	switch {
	case head.GetBodyFollows():
		request.Body = &frameReader{stream: stream, request: request}
	case len(head.GetBody()) > 0:
		request.Body = wholeBody(head.GetBody())
	}
	return request.WithContext(ctx), nil
}

// keepSpelling makes the URL write the path as it came, whose escapes could be
// spelt in other ways.
func keepSpelling(target *url.URL, text string) {
	path, _, _ := strings.Cut(text, "?")
	if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		target.Opaque = path
	}
}

// verdict says what an answer of the upstream is worth.
type verdict uint8

const (
	verdictOwn verdict = iota
	verdictNotRun
	verdictMisdirected
	verdictUnproved
)

// judge tells the upstream's own answers from its word that it has not run the
// request, and from successes that it has not vouched for.
func (server *Server) judge(answer *upstream.Answer) verdict {
	names := server.Upstream.Names()
	if names.ParseLoad != nil {
		if load, told := names.ParseLoad(answer.Header); told {
			server.Gate.Slowness(load.Slowness)
		}
	}
	switch {
	case names.Misdirected != nil && names.Misdirected(answer.Response):
		return verdictMisdirected
	case names.NotRun != nil && names.NotRun(answer.Response):
		return verdictNotRun
	case names.Proof != "" && answer.StatusCode < http.StatusMultipleChoices && answer.Header.Get(names.Proof) == "":
		return verdictUnproved
	default:
		return verdictOwn
	}
}

// tell passes on what an answer that is not relayed means for the request.
func (server *Server) tell(stream *gateCall, verdict verdict, response *http.Response) error {
	switch verdict {
	case verdictMisdirected:
		server.Control.Misdirected(server.Upstream.Expected())
		return server.refuseAs(stream, admit.ReasonNoUpstream, 0, true)
	case verdictNotRun:
		return server.refuseAs(stream, admit.ReasonUpstreamRefused, retryAfterOf(response), true)
	default:
		return server.lose(stream, false)
	}
}

// retryAfterOf reads when an upstream that refused expects room, or 0.
func retryAfterOf(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxRetryAfter is the largest Retry-After of an upstream that is believed.
const maxRetryAfter = time.Minute

// sendWhole sends a short answer as one frame, after it has been read to its
// end, so that a short answer is either whole or lost.
func (server *Server) sendWhole(stream *gateCall, answer *upstream.Answer) (bool, error) {
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		answer.Abort()
		return true, server.lose(stream, server.checkCrash())
	}
	answer.Finish()
	head := headMessage(answer.Response)
	head.Body = body
	head.Complete = true
	head.Load = loadMessage(server.Gate.LoadOf(stream.class))
	err = stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Head{Head: head}})
	return isServerFailure(answer.StatusCode), Error.Wrap(err)
}

// sendParts sends a longer answer as it comes.
func (server *Server) sendParts(stream *gateCall, answer *upstream.Answer) (bool, error) {
	head := headMessage(answer.Response)
	head.Load = loadMessage(server.Gate.LoadOf(stream.class))
	if err := stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Head{Head: head}}); err != nil {
		answer.Abort()
		return false, Error.Wrap(err)
	}
	for {
		chunk := make([]byte, ChunkSize)
		count, err := answer.Body.Read(chunk)
		if count > 0 {
			frame := &peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Chunk{Chunk: chunk[:count]}}
			if sendErr := stream.Send(frame); sendErr != nil {
				answer.Abort()
				return false, Error.Wrap(sendErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return server.sendEnd(stream, answer)
		}
		if err != nil {
			answer.Abort()
			return true, server.lose(stream, server.checkCrash())
		}
	}
}

func (server *Server) sendEnd(stream *gateCall, answer *upstream.Answer) (bool, error) {
	answer.Finish()
	end := &peerpb.AnswerEnd{Trailers: FieldsOf(answer.Trailer), Load: loadMessage(server.Gate.LoadOf(stream.class))}
	err := stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_End{End: end}})
	return isServerFailure(answer.StatusCode), Error.Wrap(err)
}

func isServerFailure(status int) bool { return status >= http.StatusInternalServerError }

func headMessage(response *http.Response) *peerpb.AnswerHead {
	header := response.Header.Clone()
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	return &peerpb.AnswerHead{
		Status:        int32(response.StatusCode),
		Headers:       FieldsOf(header),
		ContentLength: response.ContentLength,
	}
}
