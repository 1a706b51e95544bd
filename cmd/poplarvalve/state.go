package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"

	"github.com/peterbourgon/ff/v4"

	"poplarvalve/internal/connection/operator"
)

func statusPath([]string) string       { return operator.PathStatus }
func dumpPath([]string) string         { return operator.PathDump }
func explainPath(args []string) string { return operator.PathExplain + url.PathEscape(args[0]) }

// getCommand returns a command that sends a GET request to an operator path and
// prints the reply. The command takes one argument if arguments is not empty.
func (t *tool) getCommand(parent *ff.FlagSet, name, arguments, help string, path func([]string) string) *ff.Command {
	count := 0
	if arguments != "" {
		count = 1
	}
	return newCommand(parent, name, arguments, help, count, func(ctx context.Context, args []string) error {
		body, err := t.fetchOperatorPath(ctx, path(args))
		if err != nil {
			return err
		}
		return t.printReply(body)
	})
}

// fetchOperatorPath returns the body of the reply to a GET request to an operator
// path.
func (t *tool) fetchOperatorPath(ctx context.Context, path string) ([]byte, error) {
	received, err := t.send(ctx, request{method: http.MethodGet, path: path, needsToken: true})
	if err != nil {
		return nil, err
	}
	if !received.ok() {
		return nil, refusalError(received)
	}
	return received.body, nil
}

// printReply prints the body of a reply: unchanged with --json, otherwise one line
// "name: value" for each field, sorted by name.
func (t *tool) printReply(body []byte) error {
	if t.json {
		_, err := t.stdout.Write(body)
		return err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return newExitError(exitFailure, "the reply is not a JSON object: %v", err)
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		value := bytes.Trim(fields[name], `"`)
		if _, err := fmt.Fprintf(t.stdout, "%s: %s\n", name, value); err != nil {
			return err
		}
	}
	return nil
}
