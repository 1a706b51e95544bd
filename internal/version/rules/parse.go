package rules

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"poplarvalve/internal/process/ident"
)

// Limits of a rules file. They bound the size of a configuration record and
// the time that every reader spends on checking it.
const (
	MaxFileBytes = 512 << 10
	MaxLineBytes = 512
	MaxRules     = 8192
	MaxNameBytes = 64
	// maxProblems bounds what one check reports.
	maxProblems = 100
)

// Problem is one reason for refusing a rules file.
type Problem struct {
	File string
	// Line and Column start at 1; Column counts characters.
	Line    int
	Column  int
	Message string
}

// String returns "file:line:column: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
}

// Parse returns the set of a rules file, or its problems and no set. The
// result depends on text alone; name only labels the problems.
func Parse(name string, text string) (*Set, []Problem) {
	p := &parser{file: name, set: newSet(), places: map[Key]place{}}
	if len(text) > MaxFileBytes {
		p.report(place{1, 1}, "the file has %d bytes; the limit is %d", len(text), MaxFileBytes)
		return nil, p.problems
	}
	p.readLines(text)
	p.checkReferences()
	if len(p.set.Comments) == 0 && len(p.problems) == 0 {
		p.report(place{1, 1}, "the file holds no rule")
	}
	if len(p.problems) > 0 {
		return nil, p.sorted()
	}
	return p.set, nil
}

func newSet() *Set {
	return &Set{
		Teams:    map[ident.TeamName]Team{},
		Services: map[ident.ServiceName]Service{},
		Limits:   map[ident.CallerName]Limit{},
		Drained:  map[ident.WorkerID]bool{},
		Comments: map[Key]Comment{},
	}
}

type place struct {
	line   int
	column int
}

type token struct {
	text string
	at   place
}

type parser struct {
	file     string
	set      *Set
	places   map[Key]place
	problems []Problem
}

func (p *parser) report(at place, format string, args ...any) {
	if len(p.problems) >= maxProblems {
		return
	}
	message := fmt.Sprintf(format, args...)
	p.problems = append(p.problems, Problem{p.file, at.line, at.column, message})
}

// sorted orders the problems by place, since references are checked after
// the lines and in the random order of a map.
func (p *parser) sorted() []Problem {
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

func (p *parser) readLines(text string) {
	number := 0
	for line := range strings.SplitSeq(text, "\n") {
		number++
		line = strings.TrimSuffix(line, "\r")
		if !p.checkLine(line, number) {
			continue
		}
		p.readLine(line, number)
		if len(p.places) > MaxRules {
			p.report(place{number, 1}, "the file holds more than %d rules", MaxRules)
			return
		}
	}
}

func (p *parser) checkLine(line string, number int) bool {
	if len(line) > MaxLineBytes {
		p.report(place{number, 1}, "the line has %d bytes; the limit is %d", len(line), MaxLineBytes)
		return false
	}
	if !utf8.ValidString(line) {
		p.report(place{number, 1}, "the line is not valid UTF-8")
		return false
	}
	column := 0
	for _, char := range line {
		column++
		if char != '\t' && !unicode.IsPrint(char) {
			p.report(place{number, column}, "character %U is not allowed", char)
			return false
		}
	}
	return true
}

func (p *parser) readLine(line string, number int) {
	rule, text, found := strings.Cut(line, "#")
	tokens := split(rule, number)
	if len(tokens) == 0 {
		return // A blank line or a line with only a comment.
	}
	end := place{number, utf8.RuneCountInString(rule) + 1}
	comment := p.readComment(text, found, end)
	r := &reader{parser: p, tokens: tokens, end: end}
	key, ok := r.rule()
	if !ok {
		return
	}
	p.set.Comments[key] = comment
	// The canonical text may be longer, as in "1h0m0s" for "1h", and must
	// pass the checks too.
	if length := len(printLine(p.set, key)); length > MaxLineBytes {
		p.report(place{number, 1}, "the rule has %d bytes in canonical form; the limit is %d", length, MaxLineBytes)
	}
}

func (p *parser) readComment(text string, found bool, at place) Comment {
	if !found {
		p.report(at, "the rule has no comment \"# who: reason\"")
		return Comment{}
	}
	who, reason, _ := strings.Cut(text, ":")
	comment := Comment{Who: strings.TrimSpace(who), Reason: strings.TrimSpace(reason)}
	if comment.Who == "" || comment.Reason == "" {
		p.report(at, "the comment is not of the form \"# who: reason\"")
	}
	return comment
}

// define claims the key of a rule; it fails if an earlier line has it.
func (p *parser) define(key Key, at place) bool {
	if first, taken := p.places[key]; taken {
		p.report(at, "%s %q is already defined in line %d", key.Kind, key.Name, first.line)
		return false
	}
	p.places[key] = at
	return true
}

// checkReferences checks what needs the whole file.
func (p *parser) checkReferences() {
	for name, service := range p.set.Services {
		at := p.places[Key{KindService, string(name)}]
		if _, defined := p.places[Key{KindTeam, string(service.Team)}]; !defined {
			p.report(at, "service %q names the unknown team %q", name, service.Team)
			continue
		}
		quota := p.set.Teams[service.Team].Quota
		if entry, above := exceeds(service.Demand, quota); above {
			p.report(at, "service %q can never run: its %s is above the quota of team %q", name, entry, service.Team)
		}
	}
}

// split returns the words of a rule with their columns.
func split(rule string, number int) []token {
	var tokens []token
	column := 0
	start := 0
	var word []rune
	flush := func() {
		if len(word) > 0 {
			tokens = append(tokens, token{string(word), place{number, start}})
			word = word[:0]
		}
	}
	for _, char := range rule {
		column++
		if char == ' ' || char == '\t' {
			flush()
			continue
		}
		if len(word) == 0 {
			start = column
		}
		word = append(word, char)
	}
	flush()
	return tokens
}
