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

// maxReplyBytes bounds what the tool reads of one reply.
const maxReplyBytes = 64 << 20

// client connects to the servers directly: the addresses are those of
// instances, whatever proxy the environment names.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

const outcomeNotRun = "not-run"

// message is a request that may be repeated at another server without harm:
// it changes nothing, or it carries an identifier.
type message struct {
	method  string
	path    string
	headers map[string]string
	body    []byte
	// operator requests carry the operator token.
	operator bool
}

type reply struct {
	status  int
	outcome string
	body    []byte
}

func (r reply) ok() bool { return r.status < http.StatusMultipleChoices }

// send tries the servers in turn and returns the first reply that settles the
// request. Its error says whether the request may have taken effect.
func (t *tool) send(ctx context.Context, m message) (reply, error) {
	if err := t.checkServers(); err != nil {
		return reply{}, err
	}
	if m.operator {
		token, err := t.token()
		if err != nil {
			return reply{}, err
		}
		m.headers = map[string]string{"Authorization": "Bearer " + token}
	}
	var last reply
	var lastError error
	sent := false
	for i, server := range t.servers {
		got, err := t.attempt(ctx, server, m, len(t.servers)-i)
		if err != nil {
			lastError = fmt.Errorf("server %s: %w", server, err)
			sent = sent || mayHaveArrived(err)
			continue
		}
		last, lastError = got, nil
		if !tryNext(got) {
			break
		}
		sent = sent || got.outcome != outcomeNotRun
	}
	return t.settle(m, last, lastError, sent)
}

func (t *tool) checkServers() error {
	if len(t.servers) == 0 {
		return fail(exitUsage, "--server is missing")
	}
	for _, server := range t.servers {
		if _, err := netip.ParseAddrPort(server); err != nil {
			return fail(exitUsage, "--server %q is not of the form IP:port", server)
		}
	}
	return nil
}

// settle draws the conclusion from all attempts. A refusal by one server says
// nothing about what an earlier one did.
func (t *tool) settle(m message, last reply, lastError error, sent bool) (reply, error) {
	changes := m.method != http.MethodGet
	if last.status != 0 && last.ok() {
		return last, nil
	}
	if changes && sent && (lastError != nil || last.outcome == outcomeNotRun || tryNext(last)) {
		return reply{}, fail(exitUnknown, "the outcome is unknown: %s", describe(last, lastError))
	}
	if lastError != nil && changes {
		return reply{}, fail(exitNotRun, "no server could be reached: %v", lastError)
	}
	if lastError != nil {
		return reply{}, fail(exitFailure, "%v", lastError)
	}
	return last, nil
}

func describe(last reply, err error) string {
	if err != nil {
		return err.Error()
	}
	return failureText(last)
}

// tryNext reports whether another server may do better.
func tryNext(r reply) bool {
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusGatewayTimeout
}

// mayHaveArrived reports whether the request may have left before err. Only a
// failed dial proves that it has not.
func mayHaveArrived(err error) bool {
	var operation *net.OpError
	return !errors.As(err, &operation) || operation.Op != "dial"
}

// attempt gives one server its part of the time left.
func (t *tool) attempt(ctx context.Context, server string, m message, left int) (reply, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(left))
	defer cancel()
	request, err := newRequest(ctx, server, m)
	if err != nil {
		return reply{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return reply{}, err
	}
	if len(body) > maxReplyBytes {
		return reply{}, fail(exitFailure, "the reply has more than %d bytes", maxReplyBytes)
	}
	return reply{response.StatusCode, response.Header.Get(operator.HeaderOutcome), body}, nil
}

func newRequest(ctx context.Context, server string, m message) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, m.method, "http://"+server+m.path, bytes.NewReader(m.body))
	if err != nil {
		return nil, err
	}
	for name, value := range m.headers {
		request.Header.Set(name, value)
	}
	return request, nil
}

// failureText returns what a reply says about its failure.
func failureText(r reply) string {
	var failure operator.Failure
	if err := json.Unmarshal(r.body, &failure); err != nil || failure.Failure == nil {
		return fmt.Sprintf("status %d", r.status)
	}
	return failure.Failure.Error()
}

// refusal turns a reply that is not a success into an error with its code.
func refusal(r reply) error {
	switch {
	case r.outcome == outcomeNotRun:
		return fail(exitNotRun, "refused, not run: %s", failureText(r))
	case r.outcome == "unknown":
		return fail(exitUnknown, "the outcome is unknown: %s", failureText(r))
	default:
		return fail(exitFailure, "%s", failureText(r))
	}
}

func trimSpace(content []byte) string {
	return strings.TrimSpace(string(content))
}

// callerHeaders returns the headers of a request to a caller address.
func (t *tool) callerHeaders() map[string]string {
	return map[string]string{caller.HeaderCaller: t.caller}
}
