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

// versionPrefix is the start of the first line that "rules show" prints; the rest
// of the line is the version of the rules. "rules apply" sends this version as the
// base of the change, so that the change is rejected if the rules were changed
// between the two commands.
const versionPrefix = "# version "

func (t *tool) rulesCommand(parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:      "rules",
		Usage:     "rules check|diff|apply|show|history",
		ShortHelp: "check, show and change the rules",
		Flags:     ff.NewFlagSet("rules").SetParent(parent),
		Subcommands: []*ff.Command{
			newCommand(parent, "check", "FILE", "check a file without a server", 1, t.checkRules),
			newCommand(parent, "diff", "FILE", "compare a file with the rules in force", 1, t.diffRules),
			t.applyCommand(parent),
			newCommand(parent, "show", "", "print the rules in force", 0, t.showRules),
			newCommand(parent, "history", "", "list the latest changes and their verdicts", 0, t.showRulesHistory),
		},
	}
}

// rulesFile is a rules file that passed the checks, without its version line.
type rulesFile struct {
	text string
	set  *rules.Set
	// baseVersion is the version that the file was edited from, or "" if the file
	// does not state it.
	baseVersion string
}

// readRules reads and checks a rules file. It prints the problems of an invalid
// file and returns an error with exitNotRun.
func (t *tool) readRules(path string) (rulesFile, error) {
	content, err := t.readInput(path, rules.MaxFileBytes)
	if err != nil {
		return rulesFile{}, err
	}
	file := rulesFile{text: string(content)}
	set, problems := rules.Parse(path, file.text)
	if len(problems) > 0 {
		for _, problem := range problems {
			fmt.Fprintln(t.stderr, problem)
		}
		return rulesFile{}, newExitError(exitNotRun, "%s: nothing of the file comes into force; problems: %d", path, len(problems))
	}
	file.set = set
	file.baseVersion, file.text = cutVersionLine(file.text)
	return file, nil
}

// cutVersionLine splits text into the version in its first line and the rest. If
// the first line states no version, it returns "" and the whole text.
func cutVersionLine(text string) (version, rest string) {
	first, rest, found := strings.Cut(text, "\n")
	version, marked := strings.CutPrefix(first, versionPrefix)
	if !found || !marked {
		return "", text
	}
	return strings.TrimSpace(version), rest
}

func (t *tool) checkRules(_ context.Context, args []string) error {
	file, err := t.readRules(args[0])
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(t.stdout, "%s: no problem; rules: %d\n", args[0], len(file.set.Comments))
	return err
}

// fetchCurrentRules returns the rules in force.
func (t *tool) fetchCurrentRules(ctx context.Context) (operator.Rules, error) {
	var current operator.Rules
	body, err := t.fetchOperatorPath(ctx, operator.PathRules)
	if err != nil {
		return current, err
	}
	if err := json.Unmarshal(body, &current); err != nil {
		return current, newExitError(exitFailure, "the reply holds no rules: %v", err)
	}
	return current, nil
}

func (t *tool) showRules(ctx context.Context, _ []string) error {
	current, err := t.fetchCurrentRules(ctx)
	if err != nil {
		return err
	}
	if t.json {
		return json.NewEncoder(t.stdout).Encode(current)
	}
	_, err = fmt.Fprintf(t.stdout, "%s%d\n%s", versionPrefix, current.Version, current.Text)
	return err
}

func (t *tool) diffRules(ctx context.Context, args []string) error {
	file, err := t.readRules(args[0])
	if err != nil {
		return err
	}
	current, err := t.fetchCurrentRules(ctx)
	if err != nil {
		return err
	}
	t.printDiff(current, file.set)
	return nil
}

// printDiff prints how the proposed rules differ from the current ones.
func (t *tool) printDiff(current operator.Rules, proposed *rules.Set) {
	set, _ := rules.Parse("in force", current.Text)
	for _, change := range rules.Diff(set, proposed) {
		fmt.Fprintln(t.stdout, change)
	}
}

func (t *tool) showRulesHistory(ctx context.Context, _ []string) error {
	body, err := t.fetchOperatorPath(ctx, operator.PathHistory)
	if err != nil {
		return err
	}
	if t.json {
		_, err = t.stdout.Write(body)
		return err
	}
	var verdicts []operator.Verdict
	if err := json.Unmarshal(body, &verdicts); err != nil {
		return newExitError(exitFailure, "the reply holds no history: %v", err)
	}
	for _, verdict := range verdicts {
		fmt.Fprintf(t.stdout, "%d\tbase %d\t%s\t%s\n", verdict.Offset, verdict.Base, verdict.Author, verdictText(verdict))
	}
	return nil
}

func verdictText(verdict operator.Verdict) string {
	switch verdict.Verdict {
	case config.Conflicted.String():
		return fmt.Sprintf("lost to version %d", verdict.InForce)
	case config.Refused.String():
		return "refused: " + strings.Join(verdict.Problems, "; ")
	default:
		return verdict.Verdict
	}
}

func (t *tool) applyCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("apply").SetParent(parent)
	base := flags.StringLong("base", "", "version that the file was edited from, if its first line doesn't say")
	author := flags.StringLong("author", userName(), "who makes the change")
	id := flags.StringLong("id", "", "identifier of an earlier apply whose outcome is unknown")
	return newCommandWithFlags(flags, "apply", "FILE", "bring a file into force and wait for the verdict", 1,
		func(ctx context.Context, args []string) error {
			file, err := t.readRules(args[0])
			if err != nil {
				return err
			}
			if *base != "" {
				file.baseVersion = *base
			}
			return t.applyRules(ctx, file, *author, *id)
		})
}

// userName returns the name of the operating system's user, or "" if it is not
// known.
func userName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

// applyRules proposes the rules of a file and prints the verdict. An empty id
// stands for a new one.
func (t *tool) applyRules(ctx context.Context, file rulesFile, author, id string) error {
	base, err := strconv.ParseUint(file.baseVersion, 10, 64)
	if err != nil {
		return newExitError(exitUsage, "state the version that the file was edited from: a first line %q or --base", versionPrefix+"N")
	}
	if id == "" {
		id = uuid.NewString()
	}
	body, err := json.Marshal(operator.Proposal{ID: ident.RecordID(id), Base: ident.Offset(base), Rules: file.text, Author: author})
	if err != nil {
		return err
	}
	received, err := t.send(ctx, request{method: http.MethodPost, path: operator.PathRules, body: body, needsToken: true})
	if exitCodeOf(err) == exitUnknown {
		return newExitError(exitUnknown, "%v; repeat with --id %s to learn it", err, id)
	}
	if err != nil {
		return err
	}
	return t.printVerdict(received, file.set, id)
}

// printVerdict prints the verdict in a reply, and returns an error unless the
// proposed rules were accepted.
func (t *tool) printVerdict(received reply, proposed *rules.Set, id string) error {
	var verdict operator.Verdict
	if err := json.Unmarshal(received.body, &verdict); err != nil || verdict.Verdict == "" {
		err := refusalError(received)
		if exitCodeOf(err) == exitUnknown {
			return newExitError(exitUnknown, "%v; repeat with --id %s to learn it", err, id)
		}
		return err
	}
	if t.json {
		_, _ = t.stdout.Write(received.body)
	}
	switch verdict.Verdict {
	case config.Accepted.String():
		if !t.json {
			fmt.Fprintf(t.stdout, "accepted as version %d\n", verdict.Offset)
		}
		return nil
	case config.Conflicted.String():
		return t.reportConflict(verdict, proposed)
	default:
		return newExitError(exitNotRun, "refused: %s", strings.Join(verdict.Problems, "\n"))
	}
}

// reportConflict prints who made the version in force and how the proposed rules
// differ from it. The error that it returns states the version that came into
// force first and the version that the file was edited from.
func (t *tool) reportConflict(verdict operator.Verdict, proposed *rules.Set) error {
	if verdict.Current != nil && !t.json {
		fmt.Fprintf(t.stdout, "version %d by %s is in force; the file differs from it by:\n",
			verdict.Current.Version, verdict.Current.Author)
		t.printDiff(*verdict.Current, proposed)
	}
	return newExitError(exitConflict, "lost to version %d: the file was edited from version %d", verdict.InForce, verdict.Base)
}
