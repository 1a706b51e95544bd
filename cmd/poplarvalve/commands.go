package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"poplarvalve/internal/process/settings"
)

// environmentPrefix lets POPLARVALVE_SERVER and the like stand for flags.
const environmentPrefix = "POPLARVALVE"

const defaultTimeout = 10 * time.Second

// tool holds what the commands share.
type tool struct {
	in  io.Reader
	out io.Writer
	err io.Writer

	servers   []string
	timeout   time.Duration
	json      bool
	tokenFile string
	caller    string
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, in io.Reader, out, errors io.Writer) int {
	t := &tool{in: in, out: out, err: errors}
	root := t.root()
	if err := root.Parse(args, ff.WithEnvVarPrefix(environmentPrefix)); err != nil {
		return t.usage(root, err)
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	err := root.Run(ctx)
	if isNoExec(err) {
		return t.usage(root, fail(exitUsage, "a subcommand is missing"))
	}
	if err != nil {
		fmt.Fprintln(t.err, "poplarvalve:", err)
	}
	return codeOf(err)
}

func isNoExec(err error) bool {
	return errors.Is(err, ff.ErrNoExec)
}

func (t *tool) usage(root *ff.Command, err error) int {
	selected := root
	if chosen := root.GetSelected(); chosen != nil {
		selected = chosen
	}
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprintln(t.out, ffhelp.Command(selected))
		return exitOK
	}
	fmt.Fprintln(t.err, ffhelp.Command(selected))
	fmt.Fprintln(t.err, "poplarvalve:", err)
	return exitUsage
}

func (t *tool) root() *ff.Command {
	flags := ff.NewFlagSet("poplarvalve")
	flags.StringListVar(&t.servers, 's', "server", "IP:port of an instance; repeat it to have others tried in turn")
	flags.DurationVar(&t.timeout, 0, "timeout", defaultTimeout, "time for the whole command")
	flags.BoolVar(&t.json, 0, "json", "print JSON")
	flags.StringVar(&t.tokenFile, 0, "token-file", "", "file with the operator token")
	flags.StringVar(&t.caller, 0, "caller", "poplarvalve", "name of the caller for submit, call, job and cancel")
	return &ff.Command{
		Name:  "poplarvalve",
		Usage: "poplarvalve [FLAGS] SUBCOMMAND ...",
		LongHelp: "Operator commands need the operator address of an instance and --token-file;\n" +
			"submit, call, job and cancel need the caller address.\n\n" +
			"Exit codes: 0 done, 1 failure, 2 usage, 3 refused and not run, 4 lost the race, 5 outcome unknown.",
		Flags: flags,
		Subcommands: []*ff.Command{
			t.rulesCommand(flags), t.submitCommand(flags), t.callCommand(flags),
			t.jobCommand(flags), t.cancelCommand(flags), t.queueCommand(flags),
			t.get(flags, "status", "", "show the state of an instance", statusPath),
			t.get(flags, "explain", "JOB", "say where a job stands and why", explainPath),
			t.get(flags, "dump", "", "print the state dump of an instance", dumpPath),
			command(flags, "version", "", "print the version of the tool", 0, t.version),
		},
	}
}

// command returns a command that takes exactly count arguments.
func command(parent *ff.FlagSet, name, arguments, help string, count int, exec func(context.Context, []string) error) *ff.Command {
	return withFlags(ff.NewFlagSet(name).SetParent(parent), name, arguments, help, count, exec)
}

func withFlags(flags *ff.FlagSet, name, arguments, help string, count int, exec func(context.Context, []string) error) *ff.Command {
	checked := func(ctx context.Context, args []string) error {
		if len(args) != count {
			return fail(exitUsage, "%s takes %d arguments, not %d: %s", name, count, len(args), arguments)
		}
		return exec(ctx, args)
	}
	return &ff.Command{Name: name, Usage: name + " " + arguments, ShortHelp: help, Flags: flags, Exec: checked}
}

func (t *tool) version(context.Context, []string) error {
	_, err := fmt.Fprintln(t.out, "poplarvalve", version)
	return err
}

// readInput reads a file, or the standard input for "-".
func (t *tool) readInput(path string, limit int64) ([]byte, error) {
	if path == "-" {
		return readLimited(t.in, limit)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fail(exitUsage, "%v", err)
	}
	defer file.Close()
	return readLimited(file, limit)
}

func readLimited(r io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fail(exitUsage, "reading the input: %v", err)
	}
	if int64(len(content)) > limit {
		return nil, fail(exitUsage, "the input has more than %d bytes", limit)
	}
	return content, nil
}

// token returns the operator token, or "" if no file is named.
func (t *tool) token() (string, error) {
	if t.tokenFile == "" {
		return "", nil
	}
	content, err := t.readInput(t.tokenFile, settings.MaxTokenBytes)
	return trimSpace(content), err
}
