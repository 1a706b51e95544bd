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

// get returns a command that prints what an operator path returns.
func (t *tool) get(parent *ff.FlagSet, name, arguments, help string, path func([]string) string) *ff.Command {
	count := 0
	if arguments != "" {
		count = 1
	}
	return command(parent, name, arguments, help, count, func(ctx context.Context, args []string) error {
		body, err := t.fetch(ctx, path(args))
		if err != nil {
			return err
		}
		return t.print(body)
	})
}

func (t *tool) fetch(ctx context.Context, path string) ([]byte, error) {
	got, err := t.send(ctx, message{method: http.MethodGet, path: path, operator: true})
	if err != nil {
		return nil, err
	}
	if !got.ok() {
		return nil, refusal(got)
	}
	return got.body, nil
}

// print writes a reply as it came, or as one "name: value" line a field.
func (t *tool) print(body []byte) error {
	if t.json {
		_, err := t.out.Write(body)
		return err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return fail(exitFailure, "the reply is not a JSON object: %v", err)
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		value := bytes.Trim(fields[name], `"`)
		if _, err := fmt.Fprintf(t.out, "%s: %s\n", name, value); err != nil {
			return err
		}
	}
	return nil
}
