package cli

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/configcheck"
	"github.com/guavaford/guavaford/internal/operator"
	"github.com/guavaford/guavaford/internal/settings"
	"github.com/guavaford/guavaford/platform"
)

// Names of the flags of check.
const (
	flagAgainst  = "against"
	flagStrict   = "strict"
	flagWork     = "work"
	flagTargets  = "targets"
	flagSettings = "settings"
)

// Exit codes of check.
const (
	exitCheckFound  = ExitFailure
	exitCheckErrors = ExitUsage
)

// checkCommand reports what is wrong in files and how they differ from the version in force. It sends no change.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "report errors, entries without effect and contradicting limits of a whole configuration, and its differences from the one in force; changes nothing",
		ArgsUsage: "FILE...",
		Description: "Without --server or --against it reads only the files. It ends with exit code 0 without errors, with 2 for errors or if\n" +
			"the version in force can't be read, and with --strict with 1 for warnings or differences.",
		Flags: []cli.Flag{
			fileFlag(),
			// GUAVAFORD_SERVER is not a source, so that a check of files needs no server where the variable is set.
			&cli.StringSliceFlag{Name: flagServer, Aliases: []string{"s"}, Usage: "operators' address of a node: compare with the version in force there"},
			&cli.StringFlag{Name: flagTokenFile, Value: defaultTokenFile, Sources: cli.EnvVars(settings.Variable(flagTokenFile)), TakesFile: true, Usage: "file with the operators' token"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Sources: cli.EnvVars(settings.Variable(flagTimeout)), Usage: "longest time to wait for the version in force"},
			&cli.StringFlag{Name: flagAgainst, TakesFile: true, Usage: "compare with this file or folder in place of the version in force"},
			&cli.BoolFlag{Name: flagStrict, Usage: "end with exit code 1 for warnings or differences"},
			&cli.StringSliceFlag{Name: flagWork, Usage: "SERVICE=TIME that a request usually takes there, for checks of limits; may be repeated"},
			&cli.StringSliceFlag{Name: flagTargets, Usage: "SERVICE=COUNT of targets, for checks of limits; may be repeated"},
			&cli.StringFlag{Name: flagSettings, TakesFile: true, Usage: "settings file of a platform host, whose limit on repeats the attempts are compared with"},
			outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			err := check(ctx, c)
			var exit *exitError
			if err != nil && (!errors.As(err, &exit) || exit.code > exitCheckErrors) {
				err = &exitError{exitCheckErrors, err}
			}
			return err
		},
	}
}

// checkReport is the result of a check; its JSON form is described in docs/OPERATORS.md.
type checkReport struct {
	Documents int                   `json:"documents"`
	Errors    int                   `json:"errors"`
	Warnings  int                   `json:"warnings"`
	Findings  []configcheck.Finding `json:"findings"`
	// InForce says what the files were compared with; nil if they were not, and Differences is null then.
	InForce     *checkedVersion          `json:"inForce,omitempty"`
	Differences []configcheck.Difference `json:"differences"`
	// InForceError says why the version in force could not be read.
	InForceError string `json:"inForceError,omitempty"`
}

// checkedVersion identifies a version in force.
type checkedVersion struct {
	Source string `json:"source"`
	// Revision is 0 for a file and for a document of the platform.
	Revision uint64 `json:"revision,omitempty"`
}

// check reads the files, checks and compares them, and prints the report.
func check(ctx context.Context, c *cli.Command) error {
	input := configcheck.Input{}
	if err := readAssumptions(c, &input); err != nil {
		return err
	}
	given, err := readGiven(c, append(c.StringSlice(flagFile), c.Args().Slice()...))
	if err != nil {
		return err
	}
	report := &checkReport{Documents: given.count, Findings: given.findings}
	current, err := readInForce(ctx, c, given.platform, &input)
	if err != nil {
		report.InForceError = err.Error()
	}
	if len(given.findings) == 0 {
		input.Resources, input.Services = given.resources, given.services
		input.KeysKnown = input.KeysKnown || given.platform
		report.Findings = given.locate(configcheck.Check(input))
		if current != nil {
			report.InForce = &current.version
			if report.Differences, err = configcheck.Diff(current.resources, given.resources); err != nil {
				return errors.WithMessage(err, "compare with the version in force")
			}
			if given.platform {
				report.Differences = configcheck.Relocate(report.Differences, given.place)
			}
		}
	}
	report.Errors = configcheck.Count(report.Findings, configcheck.SeverityError)
	report.Warnings = configcheck.Count(report.Findings, configcheck.SeverityWarning)
	if err := printReport(c, report, given.platform); err != nil {
		return err
	}
	return report.exit(c.Bool(flagStrict))
}

// exit returns the error with the exit code of a report, or nil.
func (r *checkReport) exit(strict bool) error {
	switch {
	case r.InForceError != "":
		return &exitError{exitCheckErrors, errors.Errorf("the version in force can't be read, so that differences are not known (%s): %s", r.counts(), r.InForceError)}
	case r.Errors > 0:
		return &exitError{exitCheckErrors, errors.Errorf("the configuration is not valid: %s", r.counts())}
	case strict && r.Warnings+len(r.Differences) > 0:
		return &exitError{exitCheckFound, errors.New(r.counts())}
	default:
		return nil
	}
}

// readAssumptions reads the flags that state facts apart from the configuration.
func readAssumptions(c *cli.Command, input *configcheck.Input) error {
	if len(c.StringSlice(flagServer)) > 0 && c.String(flagAgainst) != "" {
		return usageError("give at most one of --%s and --%s", flagServer, flagAgainst)
	}
	input.Load = map[string]configcheck.ServiceLoad{}
	for _, text := range c.StringSlice(flagWork) {
		service, value, _ := strings.Cut(text, "=")
		work, err := time.ParseDuration(value)
		if err != nil || work <= 0 || service == "" {
			return usageError("--%s is %q; allowed: SERVICE=TIME, such as jadual=40ms", flagWork, text)
		}
		load := input.Load[service]
		load.Work = work
		input.Load[service] = load
	}
	for _, text := range c.StringSlice(flagTargets) {
		service, value, _ := strings.Cut(text, "=")
		count, err := strconv.Atoi(value)
		if err != nil || count <= 0 || service == "" {
			return usageError("--%s is %q; allowed: SERVICE=COUNT, such as jadual=3", flagTargets, text)
		}
		load := input.Load[service]
		load.Targets = count
		input.Load[service] = load
	}
	if path := c.String(flagSettings); path != "" {
		b, err := platform.ReadRepeatBudget(path)
		if err != nil {
			return err
		}
		input.Budget = &configcheck.Budget{Ratio: b.Ratio, Reserve: b.Slack, Window: b.Window}
	}
	return nil
}

// givenFiles is a configuration that was read from files.
type givenFiles struct {
	resources []*apiv1.Resource
	// services and translation are only set for a document of the platform.
	services    []string
	translation *platform.Translation
	source      *config.Source
	platform    bool
	file        string
	count       int
	// findings are the errors of single files and documents.
	findings []configcheck.Finding
}

// readGiven reads files of documents, or a single file with a document of the platform.
func readGiven(c *cli.Command, paths []string) (*givenFiles, error) {
	if len(paths) == 0 {
		return nil, usageError("name at least one file")
	}
	given := &givenFiles{source: &config.Source{}}
	files := 0
	for _, path := range paths {
		names, err := filesOf(path)
		if err != nil {
			return nil, err
		}
		for _, file := range names {
			data, err := readFile(c.Root().Reader, file, platform.MaxDocumentBytes)
			if err != nil {
				return nil, err
			}
			files++
			switch isDocument := platform.IsDocument(file, data); {
			case (isDocument || given.platform) && files > 1:
				return nil, usageError("%s: a document of the platform is a whole configuration and must be the only file", file)
			case isDocument:
				given.readDocument(file, data)
			case len(data) > operator.MaxBodyBytes:
				return nil, invalidError("%s is longer than %d bytes", file, operator.MaxBodyBytes)
			default:
				source, problems := config.ParseSource(file, data)
				given.findings = append(given.findings, configcheck.Errors(configcheck.CodeInvalid, problems)...)
				given.findings = append(given.findings, configcheck.Errors(configcheck.CodeInvalid, given.source.Add(source))...)
			}
		}
	}
	if !given.platform {
		given.resources = given.source.Resources
		given.count = len(given.resources)
	}
	if given.count == 0 && len(given.findings) == 0 {
		given.findings = []configcheck.Finding{{Code: configcheck.CodeUnreadable, Severity: configcheck.SeverityError, File: paths[0], Message: "there are no documents in it"}}
	}
	return given, nil
}

// readDocument translates a document of the platform.
func (g *givenFiles) readDocument(file string, data []byte) {
	g.platform, g.file, g.count = true, file, 1
	translation, err := platform.Translate(data)
	if err != nil {
		g.findings = []configcheck.Finding{{Code: configcheck.CodeInvalid, Severity: configcheck.SeverityError, File: file, Message: err.Error()}}
		return
	}
	g.translation, g.resources, g.services = translation, translation.Resources, translation.Services
	g.findings = g.locate(configcheck.Errors(configcheck.CodeInvalid, translation.Problems))
}

// place returns the place in a document of the platform from which a field was translated.
func (g *givenFiles) place(kind, name, field string) (configcheck.Place, bool) {
	p, known := g.translation.Locate(kind, name, field)
	return configcheck.Place{Kind: p.Table, Name: p.Name, Field: p.Column}, known
}

// locate fills in the places of findings, which are file and line, or table, row and column, and sorts them.
func (g *givenFiles) locate(findings []configcheck.Finding) []configcheck.Finding {
	for i := range findings {
		f := &findings[i]
		if !g.platform {
			at := g.source.Locate(config.Problems{{Kind: f.Kind, Name: f.Name, Field: f.Field}})[0]
			f.File, f.Line = at.File, at.Line
			continue
		}
		f.File = g.file
		p, _ := g.translation.Locate(f.Kind, f.Name, f.Field)
		f.Kind, f.Name, f.Field = p.Table, p.Name, p.Column
		if p.Row >= 0 {
			f.Row = &p.Row
		}
	}
	return configcheck.Sort(findings)
}

// currentVersion is a configuration with which the files are compared.
type currentVersion struct {
	resources []*apiv1.Resource
	version   checkedVersion
}

// readInForce reads the version that --server or --against names, and what the server knows of keys and targets. It
// returns nil if there is neither flag.
func readInForce(ctx context.Context, c *cli.Command, ofPlatform bool, input *configcheck.Input) (*currentVersion, error) {
	servers, against := c.StringSlice(flagServer), c.String(flagAgainst)
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	switch {
	case against != "":
		return readAgainst(c, against, ofPlatform)
	case len(servers) == 0:
		return nil, nil
	case ofPlatform:
		data, from, err := platform.Fetch(ctx, servers)
		if err != nil {
			return nil, err
		}
		translation, err := platform.Translate(data)
		if err != nil {
			return nil, errors.WithMessagef(err, "the document in force at %s", from)
		}
		return &currentVersion{translation.Resources, checkedVersion{Source: from}}, nil
	default:
		return readServer(ctx, c, servers, input)
	}
}

// readAgainst reads the file or folder with which the files are compared.
func readAgainst(c *cli.Command, path string, ofPlatform bool) (*currentVersion, error) {
	other, err := readGiven(c, []string{path})
	switch {
	case err != nil:
		return nil, err
	case len(other.findings) > 0:
		return nil, errors.Errorf("%s is not valid: %s", path, other.findings[0])
	case other.platform != ofPlatform:
		return nil, errors.Errorf("%s has another format than the files to check", path)
	}
	return &currentVersion{other.resources, checkedVersion{Source: path}}, nil
}

// readServer reads the configuration, the organisations with valid keys and the targets from an operators' address.
func readServer(ctx context.Context, c *cli.Command, servers []string, input *configcheck.Input) (*currentVersion, error) {
	token, err := readToken(c.String(flagTokenFile))
	if err != nil {
		return nil, err
	}
	client, err := operator.NewClient(servers, token)
	if err != nil {
		return nil, err
	}
	configuration, err := currentConfiguration(ctx, c, client)
	if err != nil {
		return nil, err
	}
	keys, err := client.Keys(ctx, "")
	if err != nil {
		return nil, err
	}
	input.KeysKnown, input.IssuedKeys = true, map[string]bool{}
	for _, key := range keys.Keys {
		if !key.Withdrawn {
			input.IssuedKeys[key.Organisation] = true
		}
	}
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	if status.Control != nil {
		input.TargetsKnown = true
		for _, t := range status.Control.Targets {
			input.Targets = append(input.Targets, configcheck.Target{Service: t.Service, Name: t.Name, Labels: announcedLabels(t), Slots: int(t.Slots)})
		}
	} else {
		_, _ = fmt.Fprintf(c.Root().ErrWriter, "warning: announced targets are not known, so that they are not checked: %s\n", status.ControlError)
	}
	current := &currentVersion{version: checkedVersion{Source: strings.Join(slices.Clone(servers), ","), Revision: configuration.Revision}}
	for _, d := range configuration.Documents {
		current.resources = append(current.resources, d.Resource())
	}
	return current, nil
}
