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

// environmentPrefix is the prefix of the environment variables that set flags,
// such as POPLARVALVE_SERVER for --server.
const environmentPrefix = "POPLARVALVE"

// defaultTimeout is the default time limit of a whole command, for all servers
// together.
const defaultTimeout = 10 * time.Second

// tool holds the streams and the values of the flags that all commands share.
type tool struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer

	servers   []string
	timeout   time.Duration
	json      bool
	tokenFile string
	caller    string
}

// runCommandLine executes one command line and returns the exit code.
func runCommandLine(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	t := &tool{stdin: stdin, stdout: stdout, stderr: stderr}
	root := t.rootCommand()
	if err := root.Parse(args, ff.WithEnvVarPrefix(environmentPrefix)); err != nil {
		return t.printUsage(root, err)
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	err := root.Run(ctx)
	if isMissingSubcommand(err) {
		return t.printUsage(root, newExitError(exitUsage, "a subcommand is missing"))
	}
	if err != nil {
		fmt.Fprintln(t.stderr, "poplarvalve:", err)
	}
	return exitCodeOf(err)
}

// isMissingSubcommand reports whether err means that the selected command can't
// run by itself but needs a subcommand.
func isMissingSubcommand(err error) bool {
	return errors.Is(err, ff.ErrNoExec)
}

// printUsage prints the help of the command that the command line selects, and
// err unless it is a request for help. It returns the exit code.
func (t *tool) printUsage(root *ff.Command, err error) int {
	selected := root
	if deepest := root.GetSelected(); deepest != nil {
		selected = deepest
	}
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprintln(t.stdout, ffhelp.Command(selected))
		return exitOK
	}
	fmt.Fprintln(t.stderr, ffhelp.Command(selected))
	fmt.Fprintln(t.stderr, "poplarvalve:", err)
	return exitUsage
}

func (t *tool) rootCommand() *ff.Command {
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
			t.jobCommand(flags), t.cancelCommand(flags), t.queueCommand(flags), t.configCommand(flags),
			t.getCommand(flags, "status", "", "show the state of an instance", statusPath),
			t.getCommand(flags, "explain", "JOB", "say where a job stands and why", explainPath),
			t.getCommand(flags, "dump", "", "print the state dump of an instance", dumpPath),
			newCommand(flags, "version", "", "print the version of the tool", 0, t.printVersion),
		},
	}
}

// newCommand returns a command that takes exactly count arguments.
func newCommand(parent *ff.FlagSet, name, arguments, help string, count int, exec func(context.Context, []string) error) *ff.Command {
	return newCommandWithFlags(ff.NewFlagSet(name).SetParent(parent), name, arguments, help, count, exec)
}

// newCommandWithFlags returns a command that has the given flags and takes exactly
// count arguments.
func newCommandWithFlags(flags *ff.FlagSet, name, arguments, help string, count int, exec func(context.Context, []string) error) *ff.Command {
	checkArgumentsAndRun := func(ctx context.Context, args []string) error {
		if len(args) != count {
			return newExitError(exitUsage, "%s takes %d arguments, not %d: %s", name, count, len(args), arguments)
		}
		return exec(ctx, args)
	}
	return &ff.Command{Name: name, Usage: name + " " + arguments, ShortHelp: help, Flags: flags, Exec: checkArgumentsAndRun}
}

func (t *tool) printVersion(context.Context, []string) error {
	_, err := fmt.Fprintln(t.stdout, "poplarvalve", version)
	return err
}

// readInput reads a file, or the standard input if path is "-". It fails if the
// input has more than limit bytes.
func (t *tool) readInput(path string, limit int64) ([]byte, error) {
	if path == "-" {
		return readLimited(t.stdin, limit)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, newExitError(exitUsage, "%v", err)
	}
	defer file.Close()
	return readLimited(file, limit)
}

func readLimited(r io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, newExitError(exitUsage, "reading the input: %v", err)
	}
	if int64(len(content)) > limit {
		return nil, newExitError(exitUsage, "the input has more than %d bytes", limit)
	}
	return content, nil
}

// readToken returns the operator token, or "" if --token-file is not given.
func (t *tool) readToken() (string, error) {
	if t.tokenFile == "" {
		return "", nil
	}
	content, err := t.readInput(t.tokenFile, settings.MaxTokenBytes)
	return trimmedText(content), err
}
