package main

import (
	"bytes"
	"context"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v4"

	"poplarvalve/internal/connection/jobapi"
)

// queueCommand returns the command that groups the subcommands for multi-step jobs.
func (t *tool) queueCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("queue").SetParent(parent)
	return &ff.Command{
		Name:      "queue",
		Usage:     "queue SUBCOMMAND ...",
		ShortHelp: "hand in, show and cancel jobs of steps, at the operator address of an entry instance",
		Flags:     flags,
		Subcommands: []*ff.Command{
			t.queueSubmitCommand(flags),
			t.queueJobCommand(flags, "job", "QUEUE ID", "show the state of a job", http.MethodGet),
			t.queueJobCommand(flags, "cancel", "QUEUE ID", "cancel a job", http.MethodDelete),
			newCommand(flags, "pending", "QUEUE", "count the jobs that wait for their first start", 1,
				func(ctx context.Context, args []string) error {
					return t.sendQueueRequest(ctx, request{method: http.MethodGet, path: jobapi.PathQueues + url.PathEscape(args[0]) + "/pending"})
				}),
		},
	}
}

// queueJobPath returns the path of a job. args holds the name of its queue and its ID.
func queueJobPath(args []string) string {
	return jobapi.PathQueues + url.PathEscape(args[0]) + "/jobs/" + url.PathEscape(args[1])
}

// queueSubmitCommand returns the command that submits a job. An invalid job is
// rejected without a request.
func (t *tool) queueSubmitCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("submit").SetParent(parent)
	body := flags.StringLong("body", "-", "file with the job as JSON, or - for the standard input")
	return newCommandWithFlags(flags, "submit", "QUEUE ID", "hand in a job; a repeat with the same ID is the same job", 2,
		func(ctx context.Context, args []string) error {
			content, err := t.readInput(*body, maxBodyBytes)
			if err != nil {
				return err
			}
			if _, err := jobapi.Decode(bytes.Clone(content)); err != nil {
				return newExitError(exitUsage, "%v", err)
			}
			return t.sendQueueRequest(ctx, request{method: http.MethodPut, path: queueJobPath(args), body: content})
		})
}

// queueJobCommand returns a command that sends a request without a body about one
// job and prints the reply.
func (t *tool) queueJobCommand(parent *ff.FlagSet, name, arguments, help, method string) *ff.Command {
	return newCommand(parent, name, arguments, help, 2, func(ctx context.Context, args []string) error {
		return t.sendQueueRequest(ctx, request{method: method, path: queueJobPath(args)})
	})
}

// sendQueueRequest sends a request to an operator address and prints the reply. It
// returns an error if the reply is not a success.
func (t *tool) sendQueueRequest(ctx context.Context, req request) error {
	received, err := t.send(ctx, req)
	if err == nil && !received.ok() {
		err = refusalError(received)
	}
	if err != nil {
		return err
	}
	return t.printReply(received.body)
}
