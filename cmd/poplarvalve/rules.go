package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/user"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v4"

	"poplarvalve/internal/connection/operator"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/config"
	"poplarvalve/internal/version/rules"
)

// versionPrefix begins the line by which "rules show" marks the version that a
// file was edited from. "rules apply" reads it back, so that a change made
// between the two is noticed.
const versionPrefix = "# version "

func (t *tool) rulesCommand(parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:      "rules",
		Usage:     "rules check|diff|apply|show|history",
		ShortHelp: "check, show and change the rules",
		Flags:     ff.NewFlagSet("rules").SetParent(parent),
		Subcommands: []*ff.Command{
			command(parent, "check", "FILE", "check a file without a server", 1, t.rulesCheck),
			command(parent, "diff", "FILE", "compare a file with the rules in force", 1, t.rulesDiff),
			t.applyCommand(parent),
			command(parent, "show", "", "print the rules in force", 0, t.rulesShow),
			command(parent, "history", "", "list the latest changes and their verdicts", 0, t.rulesHistory),
		},
	}
}

// rulesFile is a file of rules and the version that it was edited from.
type rulesFile struct {
	text string
	set  *rules.Set
	base string
}

func (t *tool) readRules(path string) (rulesFile, error) {
	content, err := t.readInput(path, rules.MaxFileBytes)
	if err != nil {
		return rulesFile{}, err
	}
	file := rulesFile{text: string(content)}
	set, problems := rules.Parse(path, file.text)
	if len(problems) > 0 {
		for _, problem := range problems {
			fmt.Fprintln(t.err, problem)
		}
		return rulesFile{}, fail(exitNotRun, "%s: nothing of the file comes into force; problems: %d", path, len(problems))
	}
	file.set = set
	file.base, file.text = cutVersion(file.text)
	return file, nil
}

func cutVersion(text string) (version, rest string) {
	first, rest, found := strings.Cut(text, "\n")
	version, marked := strings.CutPrefix(first, versionPrefix)
	if !found || !marked {
		return "", text
	}
	return strings.TrimSpace(version), rest
}

func (t *tool) rulesCheck(_ context.Context, args []string) error {
	file, err := t.readRules(args[0])
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(t.out, "%s: no problem; rules: %d\n", args[0], len(file.set.Comments))
	return err
}

func (t *tool) inForce(ctx context.Context) (operator.Rules, error) {
	var current operator.Rules
	body, err := t.fetch(ctx, operator.PathRules)
	if err != nil {
		return current, err
	}
	if err := json.Unmarshal(body, &current); err != nil {
		return current, fail(exitFailure, "the reply holds no rules: %v", err)
	}
	return current, nil
}

func (t *tool) rulesShow(ctx context.Context, _ []string) error {
	current, err := t.inForce(ctx)
	if err != nil {
		return err
	}
	if t.json {
		return json.NewEncoder(t.out).Encode(current)
	}
	_, err = fmt.Fprintf(t.out, "%s%d\n%s", versionPrefix, current.Version, current.Text)
	return err
}

func (t *tool) rulesDiff(ctx context.Context, args []string) error {
	file, err := t.readRules(args[0])
	if err != nil {
		return err
	}
	current, err := t.inForce(ctx)
	if err != nil {
		return err
	}
	t.printDiff(current, file.set)
	return nil
}

func (t *tool) printDiff(current operator.Rules, proposed *rules.Set) {
	set, _ := rules.Parse("in force", current.Text)
	for _, change := range rules.Diff(set, proposed) {
		fmt.Fprintln(t.out, change)
	}
}

func (t *tool) rulesHistory(ctx context.Context, _ []string) error {
	body, err := t.fetch(ctx, operator.PathHistory)
	if err != nil {
		return err
	}
	if t.json {
		_, err = t.out.Write(body)
		return err
	}
	var verdicts []operator.Verdict
	if err := json.Unmarshal(body, &verdicts); err != nil {
		return fail(exitFailure, "the reply holds no history: %v", err)
	}
	for _, v := range verdicts {
		fmt.Fprintf(t.out, "%d\tbase %d\t%s\t%s\n", v.Offset, v.Base, v.Author, verdictText(v))
	}
	return nil
}

func verdictText(v operator.Verdict) string {
	switch v.Verdict {
	case config.Lost.String():
		return fmt.Sprintf("lost to version %d", v.Winner)
	case config.Refused.String():
		return "refused: " + strings.Join(v.Problems, "; ")
	default:
		return v.Verdict
	}
}

func (t *tool) applyCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("apply").SetParent(parent)
	base := flags.StringLong("base", "", "version that the file was edited from, if its first line doesn't say")
	author := flags.StringLong("author", userName(), "who makes the change")
	id := flags.StringLong("id", "", "identifier of an earlier apply whose outcome is unknown")
	return withFlags(flags, "apply", "FILE", "bring a file into force and wait for the verdict", 1,
		func(ctx context.Context, args []string) error {
			file, err := t.readRules(args[0])
			if err != nil {
				return err
			}
			if *base != "" {
				file.base = *base
			}
			return t.apply(ctx, file, *author, *id)
		})
}

func userName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

func (t *tool) apply(ctx context.Context, file rulesFile, author, id string) error {
	base, err := strconv.ParseUint(file.base, 10, 64)
	if err != nil {
		return fail(exitUsage, "state the version that the file was edited from: a first line %q or --base", versionPrefix+"N")
	}
	if id == "" {
		id = uuid.NewString()
	}
	body, err := json.Marshal(operator.Proposal{ID: ident.RecordID(id), Base: ident.Offset(base), Rules: file.text, Author: author})
	if err != nil {
		return err
	}
	got, err := t.send(ctx, message{method: http.MethodPost, path: operator.PathRules, body: body, operator: true})
	if codeOf(err) == exitUnknown {
		return fail(exitUnknown, "%v; repeat with --id %s to learn it", err, id)
	}
	if err != nil {
		return err
	}
	return t.printVerdict(got, file.set, id)
}

func (t *tool) printVerdict(got reply, proposed *rules.Set, id string) error {
	var verdict operator.Verdict
	if err := json.Unmarshal(got.body, &verdict); err != nil || verdict.Verdict == "" {
		err := refusal(got)
		if codeOf(err) == exitUnknown {
			return fail(exitUnknown, "%v; repeat with --id %s to learn it", err, id)
		}
		return err
	}
	if t.json {
		_, _ = t.out.Write(got.body)
	}
	switch verdict.Verdict {
	case config.Accepted.String():
		if !t.json {
			fmt.Fprintf(t.out, "accepted as version %d\n", verdict.Offset)
		}
		return nil
	case config.Lost.String():
		return t.lost(verdict, proposed)
	default:
		return fail(exitNotRun, "refused: %s", strings.Join(verdict.Problems, "\n"))
	}
}

// lost shows the change that won and what the proposal would change in it.
func (t *tool) lost(verdict operator.Verdict, proposed *rules.Set) error {
	if verdict.Current != nil && !t.json {
		fmt.Fprintf(t.out, "version %d by %s is in force; the file differs from it by:\n",
			verdict.Current.Version, verdict.Current.Author)
		t.printDiff(*verdict.Current, proposed)
	}
	return fail(exitLost, "lost to version %d: the file was edited from version %d", verdict.Winner, verdict.Base)
}
