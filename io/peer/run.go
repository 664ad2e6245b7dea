package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
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

// DeadlineHeader names the header with the time that is left for a request.
const DeadlineHeader = "Ibislift-Deadline"

// run passes an admitted request to the upstream and its answer to the entry.
// It says whether the upstream failed.
func (server *Server) run(ctx context.Context, stream GateStream, head *peerpb.CallHead, deadline time.Time) (bool, error) {
	request, err := server.request(ctx, stream, head, deadline)
	if err != nil {
		return true, server.refuse(stream, admit.ReasonCancelled, 0)
	}
	answer, err := server.Upstream.Do(ctx, request, func(interim *http.Response) {
		_ = stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Interim{Interim: headMessage(interim)}})
	})
	switch {
	case upstream.NotHandedOver(err):
		server.checkCrash()
		return true, server.refuse(stream, admit.ReasonNoTarget, time.Second)
	case err != nil:
		return true, server.lose(stream, ctx.Err() == nil && server.checkCrash())
	}
	if answer.ContentLength >= 0 && answer.ContentLength <= WholeSize && len(answer.Trailer) == 0 {
		return server.sendWhole(stream, answer)
	}
	return server.sendParts(stream, answer)
}

// request builds the upstream's request. The time left travels on, shortened.
func (server *Server) request(ctx context.Context, stream GateStream, head *peerpb.CallHead, deadline time.Time) (*http.Request, error) {
	target, err := url.ParseRequestURI(head.GetTarget())
	if err != nil {
		return nil, Error.Wrap(err)
	}
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
	request.Header.Set(DeadlineHeader, fmt.Sprintf("%dms", max(1, left.Milliseconds())))
	request.Header.Set(upstream.RequestIDHeader, head.GetRequestId())
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

// sendWhole sends a short answer as one frame, after it has been read to its
// end, so that a short answer is either whole or lost.
func (server *Server) sendWhole(stream GateStream, answer *upstream.Answer) (bool, error) {
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		answer.Abort()
		return true, server.lose(stream, server.checkCrash())
	}
	answer.Finish()
	head := headMessage(answer.Response)
	head.Body = body
	head.Complete = true
	head.Load = loadMessage(server.Gate.Load())
	err = stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Head{Head: head}})
	return isServerFailure(answer.StatusCode), Error.Wrap(err)
}

// sendParts sends a longer answer as it comes.
func (server *Server) sendParts(stream GateStream, answer *upstream.Answer) (bool, error) {
	head := headMessage(answer.Response)
	head.Load = loadMessage(server.Gate.Load())
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

func (server *Server) sendEnd(stream GateStream, answer *upstream.Answer) (bool, error) {
	answer.Finish()
	end := &peerpb.AnswerEnd{Trailers: FieldsOf(answer.Trailer), Load: loadMessage(server.Gate.Load())}
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
