package rules

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"poplarvalve/internal/process/ident"
)

// Limits of a rules file. They bound the size of a configuration record and the
// time that each instance reading the record needs to check it.
const (
	// MaxFileBytes is the maximum size of a rules file.
	MaxFileBytes = 512 << 10
	// MaxLineBytes is the maximum length of a line, both as written and in
	// canonical form.
	MaxLineBytes = 512
	// MaxRules is the maximum number of rules in a file.
	MaxRules = 8192
	// MaxNameBytes is the maximum length of the name of a team, service, caller
	// or backend server.
	MaxNameBytes = 64
	// maxProblems is the maximum number of problems that one check reports.
	maxProblems = 100
)

// Problem is an error in a rules file. A file with any problem is rejected.
type Problem struct {
	File string
	// Line and Column start at 1. Column counts characters, not bytes.
	Line    int
	Column  int
	Message string
}

// String returns "file:line:column: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
}

// Parse parses and checks the text of a rules file. It returns either the set
// and no problems, or a nil set and the problems sorted by position. The result
// depends only on text; name is used only as the file name in the problems.
func Parse(name string, text string) (*Set, []Problem) {
	p := &fileParser{fileName: name, set: newSet(), definedAt: map[RuleKey]position{}}
	if len(text) > MaxFileBytes {
		p.report(position{1, 1}, "the file has %d bytes; the limit is %d", len(text), MaxFileBytes)
		return nil, p.problems
	}
	p.parseLines(text)
	p.checkReferences()
	if len(p.set.Comments) == 0 && len(p.problems) == 0 {
		p.report(position{1, 1}, "the file holds no rule")
	}
	if len(p.problems) > 0 {
		return nil, p.sortedProblems()
	}
	return p.set, nil
}

func newSet() *Set {
	return &Set{
		Teams:          map[ident.TeamName]Team{},
		Services:       map[ident.ServiceName]Service{},
		Limits:         map[ident.CallerName]CallerLimit{},
		DrainedWorkers: map[ident.WorkerID]bool{},
		Comments:       map[RuleKey]Comment{},
	}
}

// position is a place in the file. Both numbers start at 1, and column counts
// characters.
type position struct {
	line   int
	column int
}

// token is one word of a rule.
type token struct {
	text     string
	position position
}

// fileParser parses a rules file and collects its rules and problems.
type fileParser struct {
	fileName string
	set      *Set
	// definedAt holds the position at which each rule is defined.
	definedAt map[RuleKey]position
	problems  []Problem
}

// report adds a problem, unless there are maxProblems already.
func (p *fileParser) report(at position, format string, args ...any) {
	if len(p.problems) >= maxProblems {
		return
	}
	message := fmt.Sprintf(format, args...)
	p.problems = append(p.problems, Problem{p.fileName, at.line, at.column, message})
}

// sortedProblems sorts the problems by position and returns them. They are not
// found in this order, because references are checked after all lines are parsed,
// and in the random iteration order of a map.
func (p *fileParser) sortedProblems() []Problem {
	slices.SortFunc(p.problems, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		if a.Column != b.Column {
			return a.Column - b.Column
		}
		return strings.Compare(a.Message, b.Message)
	})
	return p.problems
}

func (p *fileParser) parseLines(text string) {
	lineNumber := 0
	for line := range strings.SplitSeq(text, "\n") {
		lineNumber++
		line = strings.TrimSuffix(line, "\r")
		if !p.checkLine(line, lineNumber) {
			continue
		}
		p.parseLine(line, lineNumber)
		if len(p.definedAt) > MaxRules {
			p.report(position{lineNumber, 1}, "the file holds more than %d rules", MaxRules)
			return
		}
	}
}

// checkLine reports a line that is too long, is not valid UTF-8 or has a
// character that is not allowed. It returns false if it reported a problem.
func (p *fileParser) checkLine(line string, lineNumber int) bool {
	if len(line) > MaxLineBytes {
		p.report(position{lineNumber, 1}, "the line has %d bytes; the limit is %d", len(line), MaxLineBytes)
		return false
	}
	if !utf8.ValidString(line) {
		p.report(position{lineNumber, 1}, "the line is not valid UTF-8")
		return false
	}
	column := 0
	for _, character := range line {
		column++
		if character != '\t' && !unicode.IsPrint(character) {
			p.report(position{lineNumber, column}, "character %U is not allowed", character)
			return false
		}
	}
	return true
}

// parseLine parses a line, which has at most one rule with its comment.
func (p *fileParser) parseLine(line string, lineNumber int) {
	rule, commentText, hasComment := strings.Cut(line, "#")
	tokens := splitWords(rule, lineNumber)
	if len(tokens) == 0 {
		return // The line is blank or has only a comment.
	}
	end := position{lineNumber, utf8.RuneCountInString(rule) + 1}
	comment := p.parseComment(commentText, hasComment, end)
	r := &ruleParser{file: p, tokens: tokens, endPosition: end}
	key, ok := r.parseRule()
	if !ok {
		return
	}
	p.set.Comments[key] = comment
	// The canonical form of a rule can be longer than the line, such as "1h0m0s"
	// for "1h". It must pass the length check too, because it is parsed again.
	if length := len(canonicalLine(p.set, key)); length > MaxLineBytes {
		p.report(position{lineNumber, 1}, "the rule has %d bytes in canonical form; the limit is %d", length, MaxLineBytes)
	}
}

// parseComment parses the text after the "#" of a rule. hasComment is false if
// the rule has no "#".
func (p *fileParser) parseComment(text string, hasComment bool, at position) Comment {
	if !hasComment {
		p.report(at, "the rule has no comment \"# who: reason\"")
		return Comment{}
	}
	author, reason, _ := strings.Cut(text, ":")
	comment := Comment{Author: strings.TrimSpace(author), Reason: strings.TrimSpace(reason)}
	if comment.Author == "" || comment.Reason == "" {
		p.report(at, "the comment is not of the form \"# who: reason\"")
	}
	return comment
}

// defineKey records where a rule is defined. If an earlier line defines a rule
// with the same key, it reports that and returns false.
func (p *fileParser) defineKey(key RuleKey, at position) bool {
	if first, defined := p.definedAt[key]; defined {
		p.report(at, "%s %q is already defined in line %d", key.Kind, key.Name, first.line)
		return false
	}
	p.definedAt[key] = at
	return true
}

// checkReferences checks the references between rules, for which all lines must
// be parsed: the team of each service must be defined, and its quota must admit
// at least one task of the service.
func (p *fileParser) checkReferences() {
	for name, service := range p.set.Services {
		at := p.definedAt[RuleKey{KindService, string(name)}]
		if _, defined := p.definedAt[RuleKey{KindTeam, string(service.Team)}]; !defined {
			p.report(at, "service %q names the unknown team %q", name, service.Team)
			continue
		}
		quota := p.set.Teams[service.Team].Quota
		if resourceName, exceeded := exceededResource(service.Demand, quota); exceeded {
			p.report(at, "service %q can never run: its %s is above the quota of team %q", name, resourceName, service.Team)
		}
	}
}

// splitWords splits a rule at spaces and tabs into words with their positions.
func splitWords(rule string, lineNumber int) []token {
	var tokens []token
	column := 0
	startColumn := 0
	var word []rune
	finishWord := func() {
		if len(word) > 0 {
			tokens = append(tokens, token{string(word), position{lineNumber, startColumn}})
			word = word[:0]
		}
	}
	for _, character := range rule {
		column++
		if character == ' ' || character == '\t' {
			finishWord()
			continue
		}
		if len(word) == 0 {
			startColumn = column
		}
		word = append(word, character)
	}
	finishWord()
	return tokens
}
