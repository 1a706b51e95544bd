package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"
	"unicode/utf8"

	"github.com/peterbourgon/ff/v4"

	"poplarvalve/internal/connection/operator"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/manifest"
	"poplarvalve/internal/version/manifestcheck"
	"poplarvalve/platform"
)

// maxManifestBytes is the maximum size of a manifest file. It is far above what the log
// takes, so that a file that is too large is reported as a finding.
const maxManifestBytes = 16 << 20

func (t *tool) configCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("config").SetParent(parent)
	return &ff.Command{
		Name:        "config",
		Usage:       "config check",
		ShortHelp:   "check a manifest of an entry deployment before it is sent",
		Flags:       flags,
		Subcommands: []*ff.Command{t.configCheckCommand(flags)},
	}
}

// configCheckCommand returns the command that checks a manifest. Its flags may also follow
// the file.
func (t *tool) configCheckCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("check").SetParent(parent)
	against := flags.StringLong("against", "", "file with the manifest in force; no server is asked then")
	return &ff.Command{
		Name:      "check",
		Usage:     "check FILE [--against FILE|--server ADDRESS] [--json]",
		ShortHelp: "report errors in a manifest and its differences from the one in force",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 1 {
				rest, err := t.parseTrailingFlags(args[1:], against)
				if err != nil {
					return newExitError(exitUsage, "%v", err)
				}
				args = append(args[:1], rest...)
			}
			if len(args) != 1 {
				return newExitError(exitUsage, "check takes 1 argument, not %d: FILE", len(args))
			}
			return t.checkConfig(ctx, args[0], *against)
		},
	}
}

// parseTrailingFlags parses the flags of "config check" after its file and returns what
// follows them. Servers replace those that were set before.
func (t *tool) parseTrailingFlags(args []string, against *string) (rest []string, err error) {
	var servers []string
	var asJSON bool
	flags := ff.NewFlagSet("check")
	flags.StringVar(against, 0, "against", *against, "")
	flags.StringListVar(&servers, 's', "server", "")
	flags.BoolVar(&asJSON, 0, "json", "")
	flags.StringVar(&t.tokenFile, 0, "token-file", t.tokenFile, "")
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	if len(servers) > 0 {
		t.servers = servers
	}
	t.json = t.json || asJSON
	return flags.GetArgs(), nil
}

// checkReport is the result of "config check" as JSON. Scripts rely on the names of the
// fields.
type checkReport struct {
	File string `json:"file"`
	// Decoded is false if the file holds no manifest that can be decoded. There are no
	// version, queues and differences then.
	Decoded bool  `json:"decoded"`
	Version int64 `json:"version"`
	Queues  int   `json:"queues"`
	// Refused is set if instances would keep the manifest in force.
	Refused  bool            `json:"refused"`
	Errors   int             `json:"errors"`
	Warnings int             `json:"warnings"`
	Findings []reportFinding `json:"findings"`
	// Against is the file or the server with which the manifest was compared, or empty.
	Against string `json:"against"`
	// InForceVersion is the version in force, or null if none is known.
	InForceVersion *int64 `json:"in_force_version"`
	// ServersKnown is set if all registered backend servers are known.
	ServersKnown bool               `json:"backend_servers_known"`
	Differences  []reportDifference `json:"differences"`
}

// reportFinding is a finding with its position in the file. Line and Column count from 1;
// 0 stands for an unknown position.
type reportFinding struct {
	Severity manifestcheck.Severity `json:"severity"`
	Code     manifestcheck.Code     `json:"code"`
	Line     int                    `json:"line"`
	Column   int                    `json:"column"`
	Entry    string                 `json:"entry"`
	Text     string                 `json:"text"`
}

type reportDifference struct {
	Change manifestcheck.Change `json:"change"`
	Queue  string               `json:"queue"`
	Field  string               `json:"field"`
	Before string               `json:"before"`
	After  string               `json:"after"`
}

// checkConfig checks a manifest file, compares it with the manifest in force if that is
// known, and prints the report. It returns an error with exitNotRun if there are errors.
func (t *tool) checkConfig(ctx context.Context, path, againstPath string) error {
	content, err := t.readInput(path, maxManifestBytes)
	if err != nil {
		return err
	}
	report := checkReport{File: path, Findings: []reportFinding{}, Differences: []reportDifference{}}
	deployment, err := t.readDeployment(ctx, againstPath, &report)
	if err != nil {
		return err
	}
	report.ServersKnown = deployment.PoolsComplete
	if deployment.InForce != nil {
		report.InForceVersion = &deployment.InForce.Version
	}
	report.check(content, deployment)
	if err := t.printReport(report); err != nil {
		return err
	}
	if report.Refused {
		return newExitError(exitNotRun, "%s: instances would refuse the manifest; errors: %d", path, report.Errors)
	}
	if report.Errors > 0 {
		return newExitError(exitNotRun, "%s: errors: %d", path, report.Errors)
	}
	return nil
}

// readDeployment returns what is known about the deployment: from a file with the manifest in
// force, or else from a server, or nothing without either.
func (t *tool) readDeployment(ctx context.Context, againstPath string, report *checkReport) (manifestcheck.Deployment, error) {
	switch {
	case againstPath != "":
		report.Against = againstPath
		inForce, err := t.readManifest(againstPath)
		return manifestcheck.Deployment{InForce: inForce}, err
	case len(t.servers) > 0:
		report.Against = strings.Join(t.servers, ",")
		return t.fetchDeployment(ctx)
	}
	return manifestcheck.Deployment{}, nil
}

// readManifest returns the manifest in a file.
func (t *tool) readManifest(path string) (*manifest.Manifest, error) {
	content, err := t.readInput(path, maxManifestBytes)
	if err != nil {
		return nil, err
	}
	decoded, err := platform.Decoder{}.Manifest(platform.ManifestRecord(content))
	if err != nil {
		return nil, newExitError(exitUsage, "%s: %v", path, err)
	}
	return decoded, nil
}

func (t *tool) fetchDeployment(ctx context.Context) (manifestcheck.Deployment, error) {
	body, err := t.fetchOperatorPath(ctx, operator.PathConfiguration)
	if err != nil {
		return manifestcheck.Deployment{}, err
	}
	var received operator.Configuration
	if err := json.Unmarshal(body, &received); err != nil {
		return manifestcheck.Deployment{}, newExitError(exitFailure, "the reply holds no configuration: %v", err)
	}
	return received.Deployment(), nil
}

// check adds the findings about a manifest and its differences from the one in force.
func (r *checkReport) check(content []byte, deployment manifestcheck.Deployment) {
	record := platform.ManifestRecord(content)
	r.checkSize(record, deployment.RecordBytes)
	decoded, err := platform.Decoder{}.Manifest(record)
	switch {
	case err != nil:
		r.addDecodeError(content, err)
		return
	case decoded == nil:
		r.add(manifestcheck.Finding{Severity: manifestcheck.Error, Code: manifestcheck.Removed, Entry: manifestcheck.WholeManifest,
			Text: "the file is empty; an empty record removes the manifest, and instances keep the one in force"}, 0, 0)
		return
	}
	r.Decoded, r.Version, r.Queues = true, decoded.Version, len(decoded.Queues)
	offsets := platform.ManifestEntryOffsets(content)
	for _, finding := range manifestcheck.Check(decoded, deployment) {
		line, column := 0, 0
		if finding.Entry != manifestcheck.WholeManifest && finding.Entry < len(offsets) {
			line, column = position(content, offsets[finding.Entry])
		}
		r.add(finding, line, column)
	}
	if r.Against == "" {
		return
	}
	for _, d := range manifestcheck.Differences(deployment.InForce, decoded) {
		r.Differences = append(r.Differences, reportDifference{d.Change, d.Queue, d.Field, d.Before, d.After})
	}
}

// checkSize checks the size of the record against the limit of the log. If that is not known,
// the default limit leads to a warning only, since the settings of a deployment may raise it.
func (r *checkReport) checkSize(record store.Record, limit int) {
	limits := store.DefaultLimits
	finding := manifestcheck.Finding{Severity: manifestcheck.Warning, Code: manifestcheck.MaybeTooLarge, Entry: manifestcheck.WholeManifest}
	if limit > 0 {
		limits.RecordBytes = limit
		finding.Severity, finding.Code = manifestcheck.Error, manifestcheck.TooLarge
	}
	if err := limits.Check(record); err != nil {
		finding.Text = "the log refuses the manifest: " + err.Error()
		r.add(finding, 0, 0)
	}
}

// addDecodeError adds a finding for an error with which instances refuse to decode a manifest.
func (r *checkReport) addDecodeError(content []byte, err error) {
	finding := manifestcheck.Finding{Severity: manifestcheck.Error, Code: manifestcheck.BadSyntax, Entry: manifestcheck.WholeManifest, Text: err.Error()}
	line, column := 0, 0
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	// The offsets of both are behind the byte that is wrong.
	switch {
	case errors.As(err, &syntaxError):
		line, column = position(content, syntaxError.Offset-1)
	case errors.As(err, &typeError):
		finding.Code = manifestcheck.BadType
		line, column = position(content, typeError.Offset-1)
	}
	r.add(finding, line, column)
}

func (r *checkReport) add(finding manifestcheck.Finding, line, column int) {
	r.Refused = r.Refused || finding.Refused()
	if finding.Severity == manifestcheck.Error {
		r.Errors++
	} else {
		r.Warnings++
	}
	r.Findings = append(r.Findings, reportFinding{finding.Severity, finding.Code, line, column, finding.Name, finding.Text})
}

// position returns the line and the column, in characters, of the byte at an offset. Both count
// from 1.
func position(content []byte, offset int64) (line, column int) {
	before := content[:min(max(offset, 0), int64(len(content)))]
	line = 1 + bytes.Count(before, []byte("\n"))
	return line, 1 + utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:])
}

// printReport prints a report as JSON or as tables.
func (t *tool) printReport(report checkReport) error {
	if t.json {
		encoder := json.NewEncoder(t.stdout)
		encoder.SetEscapeHTML(false)
		return encoder.Encode(report)
	}
	table := tabwriter.NewWriter(t.stdout, 0, 0, 2, ' ', 0)
	report.writeFindings(table)
	report.writeDifferences(table)
	return table.Flush()
}

func (r checkReport) writeFindings(w io.Writer) {
	content := "no manifest"
	if r.Decoded {
		content = fmt.Sprintf("version %d, queues: %d", r.Version, r.Queues)
	}
	fmt.Fprintf(w, "%s: %s, errors: %d, warnings: %d\n", r.File, content, r.Errors, r.Warnings)
	if len(r.Findings) == 0 {
		return
	}
	fmt.Fprintln(w, "\nPOSITION\tSEVERITY\tCODE\tQUEUE\tFINDING")
	for _, f := range r.Findings {
		at := "-"
		if f.Line > 0 {
			at = fmt.Sprintf("%d:%d", f.Line, f.Column)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", at, f.Severity, f.Code, tableText(f.Entry), tableText(f.Text))
	}
}

func (r checkReport) writeDifferences(w io.Writer) {
	if r.Against == "" || !r.Decoded {
		return
	}
	inForce := "no manifest"
	if r.InForceVersion != nil {
		inForce = fmt.Sprintf("version %d", *r.InForceVersion)
	}
	fmt.Fprintf(w, "\nin force (%s): %s, differences: %d\n", r.Against, inForce, len(r.Differences))
	if len(r.Differences) == 0 {
		return
	}
	fmt.Fprintln(w, "\nCHANGE\tQUEUE\tFIELD\tBEFORE\tAFTER")
	for _, d := range r.Differences {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", d.Change, tableText(d.Queue), tableText(d.Field), tableText(d.Before), tableText(d.After))
	}
}

// tableText returns the text of a cell of a table. Names of a manifest may contain control
// characters, which would break the table or the terminal.
func tableText(text string) string {
	switch {
	case text == "":
		return "-"
	case strings.ContainsFunc(text, unicode.IsControl):
		return strconv.Quote(text)
	}
	return text
}
