package main

import (
	"context"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v4"

	"poplarvalve/internal/connection/jobapi"
)

// queueCommand groups the commands on jobs of steps.
func (t *tool) queueCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("queue").SetParent(parent)
	return &ff.Command{
		Name:      "queue",
		Usage:     "queue SUBCOMMAND ...",
		ShortHelp: "hand in, show and cancel jobs of steps, at the operator address of an entry instance",
		Flags:     flags,
		Subcommands: []*ff.Command{
			t.queueSubmitCommand(flags),
			t.onQueue(flags, "job", "QUEUE ID", "show the state of a job", http.MethodGet),
			t.onQueue(flags, "cancel", "QUEUE ID", "cancel a job", http.MethodDelete),
			command(flags, "pending", "QUEUE", "count the jobs that wait for their first start", 1,
				func(ctx context.Context, args []string) error {
					return t.queueCall(ctx, message{method: http.MethodGet, path: jobapi.PathQueues + url.PathEscape(args[0]) + "/pending"})
				}),
		},
	}
}

func queueJobPath(args []string) string {
	return jobapi.PathQueues + url.PathEscape(args[0]) + "/jobs/" + url.PathEscape(args[1])
}

func (t *tool) queueSubmitCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("submit").SetParent(parent)
	body := flags.StringLong("body", "-", "file with the job as JSON, or - for the standard input")
	return withFlags(flags, "submit", "QUEUE ID", "hand in a job; a repeat with the same ID is the same job", 2,
		func(ctx context.Context, args []string) error {
			content, err := t.readInput(*body, maxInputBytes)
			if err != nil {
				return err
			}
			if _, err := jobapi.Decode(content); err != nil {
				return fail(exitUsage, "%v", err)
			}
			return t.queueCall(ctx, message{method: http.MethodPut, path: queueJobPath(args), body: content})
		})
}

func (t *tool) onQueue(parent *ff.FlagSet, name, arguments, help, method string) *ff.Command {
	return command(parent, name, arguments, help, 2, func(ctx context.Context, args []string) error {
		return t.queueCall(ctx, message{method: method, path: queueJobPath(args)})
	})
}

func (t *tool) queueCall(ctx context.Context, m message) error {
	got, err := t.send(ctx, m)
	if err == nil && !got.ok() {
		err = refusal(got)
	}
	if err != nil {
		return err
	}
	return t.print(got.body)
}
