package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v4"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
)

// maxBodyBytes is the maximum size of the body of a job or call.
const maxBodyBytes = 64 << 20

const pathJobs = "/v1/jobs"

// submission is the body of POST /v1/jobs. Its ID is a UUIDv7; submitting the same
// ID again does not create a second job.
type submission struct {
	ID      ident.JobID       `json:"id"`
	Service ident.ServiceName `json:"service"`
	Body    []byte            `json:"body,omitempty"`
	// Demand is the demand of the job, if it is not the one that the rules state for
	// the service. Zero in all fields means the demand in the rules.
	Demand resource.Vector `json:"demand"`
}

func (t *tool) submitCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("submit").SetParent(parent)
	id := flags.StringLong("id", "", "job identifier, a UUIDv7; a repeat with the same one is harmless (default: a new one)")
	body := flags.StringLong("body", "", "file with the body, or - for the standard input")
	cpu := flags.Uint64Long("cpu-millis", 0, "thousandths of a processor core, if not as in the rules")
	memory := flags.Uint64Long("memory-mib", 0, "mebibytes of memory, if not as in the rules")
	accelerators := flags.Uint64Long("accelerators", 0, "accelerators, if not as in the rules")
	return newCommandWithFlags(flags, "submit", "SERVICE", "submit a batch job or live task", 1,
		func(ctx context.Context, args []string) error {
			content, err := t.readOptionalInput(*body)
			if err != nil {
				return err
			}
			demand := resource.Vector{CPU: int64(*cpu), Memory: int64(*memory), Accelerators: int64(*accelerators)}
			return t.submit(ctx, submission{ident.JobID(idOrNewUUID(*id)), ident.ServiceName(args[0]), content, demand})
		})
}

// idOrNewUUID returns id, or a new UUIDv7 if id is empty.
func idOrNewUUID(id string) string {
	if id == "" {
		return uuid.Must(uuid.NewV7()).String()
	}
	return id
}

// readOptionalInput is like readInput but returns nil if path is empty.
func (t *tool) readOptionalInput(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	return t.readInput(path, maxBodyBytes)
}

func (t *tool) submit(ctx context.Context, job submission) error {
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	received, err := t.send(ctx, request{method: http.MethodPost, path: pathJobs, headers: t.callerHeaders(), body: body})
	if err == nil && !received.ok() {
		err = refusalError(received)
	}
	if exitCodeOf(err) == exitUnknown {
		return newExitError(exitUnknown, "%v; repeat with --id %s", err, job.ID)
	}
	if err != nil {
		return err
	}
	return t.printSubmitted(received, job.ID)
}

// printSubmitted prints the full job identifier from the reply, which the job and
// cancel commands need. If the reply does not name the submitted job, the outcome is
// unknown.
func (t *tool) printSubmitted(received reply, id ident.JobID) error {
	var status struct {
		ID ident.JobID `json:"id"`
	}
	err := json.Unmarshal(received.body, &status)
	if err != nil || !strings.HasSuffix(string(status.ID), "."+string(id)) {
		return newExitError(exitUnknown, "the reply doesn't name job %s; repeat with --id %s", id, id)
	}
	if t.json {
		_, err = t.stdout.Write(received.body)
		return err
	}
	_, err = fmt.Fprintln(t.stdout, status.ID)
	return err
}

func (t *tool) callCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("call").SetParent(parent)
	key := flags.StringLong("key", "", "idempotency key; a repeat with the same one runs at most once (default: a new one)")
	body := flags.StringLong("body", "", "file with the body, or - for the standard input")
	return newCommandWithFlags(flags, "call", "SERVICE", "send one urgent request and print its answer", 1,
		func(ctx context.Context, args []string) error {
			content, err := t.readOptionalInput(*body)
			if err != nil {
				return err
			}
			return t.call(ctx, args[0], idOrNewUUID(*key), content)
		})
}

func (t *tool) call(ctx context.Context, service, key string, body []byte) error {
	headers := t.callerHeaders()
	headers[caller.HeaderKey] = key
	deadline, _ := ctx.Deadline()
	remaining := max(1, time.Until(deadline).Milliseconds())
	headers[caller.HeaderDeadline] = strconv.FormatInt(remaining, 10)
	path := "/v1/services/" + url.PathEscape(service) + "/call"
	received, err := t.send(ctx, request{method: http.MethodPost, path: path, headers: headers, body: body})
	if err == nil && !received.ok() {
		err = refusalError(received)
	}
	if exitCodeOf(err) == exitUnknown {
		return newExitError(exitUnknown, "%v; repeat with --key %s", err, key)
	}
	if err != nil {
		return err
	}
	_, err = t.stdout.Write(received.body)
	return err
}

func (t *tool) jobCommand(parent *ff.FlagSet) *ff.Command {
	return newCommand(parent, "job", "JOB", "show the status of a job", 1, func(ctx context.Context, args []string) error {
		received, err := t.sendJobRequest(ctx, http.MethodGet, args[0])
		if err != nil {
			return err
		}
		return t.printReply(received.body)
	})
}

func (t *tool) cancelCommand(parent *ff.FlagSet) *ff.Command {
	return newCommand(parent, "cancel", "JOB", "cancel a job", 1, func(ctx context.Context, args []string) error {
		_, err := t.sendJobRequest(ctx, http.MethodDelete, args[0])
		return err
	})
}

// sendJobRequest sends a request without a body about a job to a caller address.
func (t *tool) sendJobRequest(ctx context.Context, method, job string) (reply, error) {
	path := pathJobs + "/" + url.PathEscape(job)
	received, err := t.send(ctx, request{method: method, path: path, headers: t.callerHeaders()})
	if err == nil && !received.ok() {
		err = refusalError(received)
	}
	return received, err
}
