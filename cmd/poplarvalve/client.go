package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/connection/operator"
)

// maxReplyBytes is the maximum size of a reply. The tool rejects a longer one.
const maxReplyBytes = 64 << 20

// httpClient connects directly to the instances at the given addresses. It ignores
// proxies that are set in the environment.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// outcomeNotRun is the value of the outcome header that guarantees that the
// request did not run.
const outcomeNotRun = "not-run"

// request is an HTTP request to an instance. It may be repeated at another server
// without harm, because it either changes nothing or carries an identifier by
// which a repeat is recognized.
type request struct {
	method  string
	path    string
	headers map[string]string
	body    []byte
	// needsToken is set for operator requests, which carry the operator token. The
	// token header replaces headers.
	needsToken bool
}

// reply is the response of one server.
type reply struct {
	status  int
	outcome string
	body    []byte
}

// ok reports whether the request succeeded.
func (r reply) ok() bool { return r.status < http.StatusMultipleChoices }

// send tries the servers in turn until shouldTryNextServer is false for a reply, and
// returns that reply. If no server gives such a reply, resolve decides on the result.
// The exit code of the error says whether the request may have taken effect.
func (t *tool) send(ctx context.Context, req request) (reply, error) {
	if err := t.checkServers(); err != nil {
		return reply{}, err
	}
	if req.needsToken {
		token, err := t.readToken()
		if err != nil {
			return reply{}, err
		}
		req.headers = map[string]string{"Authorization": "Bearer " + token}
	}
	var lastReply reply
	var lastError error
	mayHaveRun := false
	for i, server := range t.servers {
		received, err := t.sendTo(ctx, server, req, len(t.servers)-i)
		if err != nil {
			lastError = fmt.Errorf("server %s: %w", server, err)
			mayHaveRun = mayHaveRun || mayHaveArrived(err)
			continue
		}
		lastReply, lastError = received, nil
		if !shouldTryNextServer(received) {
			break
		}
		mayHaveRun = mayHaveRun || received.outcome != outcomeNotRun
	}
	return t.resolve(req, lastReply, lastError, mayHaveRun)
}

// checkServers checks that at least one server is given and that each address is
// valid.
func (t *tool) checkServers() error {
	if len(t.servers) == 0 {
		return newExitError(exitUsage, "--server is missing")
	}
	for _, server := range t.servers {
		if _, err := netip.ParseAddrPort(server); err != nil {
			return newExitError(exitUsage, "--server %q is not of the form IP:port", server)
		}
	}
	return nil
}

// resolve returns the result of a request after all attempts. If the last server
// refused a request that an earlier server may have run, the outcome is unknown,
// since the refusal says nothing about the earlier server.
func (t *tool) resolve(req request, lastReply reply, lastError error, mayHaveRun bool) (reply, error) {
	changesState := req.method != http.MethodGet
	if lastReply.status != 0 && lastReply.ok() {
		return lastReply, nil
	}
	if changesState && mayHaveRun && (lastError != nil || lastReply.outcome == outcomeNotRun || shouldTryNextServer(lastReply)) {
		return reply{}, newExitError(exitUnknown, "the outcome is unknown: %s", lastFailureText(lastReply, lastError))
	}
	if lastError != nil && changesState {
		return reply{}, newExitError(exitNotRun, "no server could be reached: %v", lastError)
	}
	if lastError != nil {
		return reply{}, newExitError(exitFailure, "%v", lastError)
	}
	return lastReply, nil
}

// lastFailureText describes the failure of the last attempt: lastError, or the
// failure in lastReply if there was no error.
func lastFailureText(lastReply reply, lastError error) string {
	if lastError != nil {
		return lastError.Error()
	}
	return failureText(lastReply)
}

// shouldTryNextServer reports whether the request may succeed at another server.
func shouldTryNextServer(r reply) bool {
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusGatewayTimeout
}

// mayHaveArrived reports whether the request may have reached the server before
// err. Only a failure to connect proves that it was not sent.
func mayHaveArrived(err error) bool {
	var networkError *net.OpError
	return !errors.As(err, &networkError) || networkError.Op != "dial"
}

// sendTo sends a request to one server. The time limit of the attempt is the
// remaining time of the command divided by serversLeft, which includes this server.
func (t *tool) sendTo(ctx context.Context, server string, req request, serversLeft int) (reply, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(serversLeft))
	defer cancel()
	httpRequest, err := newHTTPRequest(ctx, server, req)
	if err != nil {
		return reply{}, err
	}
	response, err := httpClient.Do(httpRequest)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return reply{}, err
	}
	if len(body) > maxReplyBytes {
		return reply{}, newExitError(exitFailure, "the reply has more than %d bytes", maxReplyBytes)
	}
	return reply{response.StatusCode, response.Header.Get(operator.HeaderOutcome), body}, nil
}

// newHTTPRequest returns req as an HTTP request to a server.
func newHTTPRequest(ctx context.Context, server string, req request) (*http.Request, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, req.method, "http://"+server+req.path, bytes.NewReader(req.body))
	if err != nil {
		return nil, err
	}
	for name, value := range req.headers {
		httpRequest.Header.Set(name, value)
	}
	return httpRequest, nil
}

// failureText returns the failure that a reply states, or its status code if it
// states none.
func failureText(r reply) string {
	var failure operator.Failure
	if err := json.Unmarshal(r.body, &failure); err != nil || failure.Failure == nil {
		return fmt.Sprintf("status %d", r.status)
	}
	return failure.Failure.Error()
}

// refusalError returns the error for a reply that is not a success. The exit code
// of the error depends on the outcome that the reply states.
func refusalError(r reply) error {
	switch {
	case r.outcome == outcomeNotRun:
		return newExitError(exitNotRun, "refused, not run: %s", failureText(r))
	case r.outcome == "unknown":
		return newExitError(exitUnknown, "the outcome is unknown: %s", failureText(r))
	default:
		return newExitError(exitFailure, "%s", failureText(r))
	}
}

func trimmedText(content []byte) string {
	return strings.TrimSpace(string(content))
}

// callerHeaders returns the headers of a request to a caller address.
func (t *tool) callerHeaders() map[string]string {
	return map[string]string{caller.HeaderCaller: t.caller}
}
