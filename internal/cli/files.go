package cli

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/operator"
)

// applyCommand adds the documents of files to the configuration or replaces those of the same kind and name.
func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "add and replace the documents of files in one all-or-nothing change",
		Flags: changeFlags(fileFlag()),
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			source, err := readSources(c)
			if err != nil {
				return err
			}
			if err := checkResend(c); err != nil {
				return err
			}
			return apply(ctx, c, client, source)
		}),
	}
}

// apply submits the documents of source if at least one differs from the current configuration. It first validates
// them together with the current documents, because the client can report the file and line of a problem and the
// server can't. A resend must be identical to the first try, so it is sent without reading the current documents.
func apply(ctx context.Context, c *cli.Command, client *operator.Client, source *config.Source) error {
	change := &operator.Change{}
	for _, r := range source.Resources {
		change.Upserts = append(change.Upserts, operator.FromResource(r))
	}
	var current *uint64
	if !c.IsSet(flagChangeID) {
		configuration, err := client.Configuration(ctx)
		if err != nil {
			return err
		}
		merged, changed := merge(configuration, source.Resources)
		if problems := source.Locate(config.Check(merged)); len(problems) > 0 {
			return problemsError(problems)
		}
		if changed == 0 {
			_, err := fmt.Fprintf(c.Root().ErrWriter, "nothing to change at revision %d\n", configuration.Revision)
			return err
		}
		current = &configuration.Revision
	}
	if err := applyChangeFlags(c, change, current); err != nil {
		return err
	}
	accepted, err := submit(ctx, c, client, change)
	if err != nil {
		return err
	}
	return renderAccepted(c, accepted)
}

// merge returns the current documents with the upserts added or replaced, and the number of upserts that differ from
// the current documents.
func merge(configuration *operator.Configuration, upserts []*apiv1.Resource) (merged []*apiv1.Resource, changed int) {
	current := map[operator.DocumentRef]*apiv1.Resource{}
	for _, d := range configuration.Documents {
		current[operator.DocumentRef{Kind: d.Kind, Name: d.Name}] = d.Resource()
	}
	for _, r := range upserts {
		ref := operator.DocumentRef{Kind: r.GetKind(), Name: r.GetName()}
		if old := current[ref]; old == nil || !proto.Equal(old, r) {
			changed++
		}
		current[ref] = r
	}
	for _, r := range current {
		merged = append(merged, r)
	}
	return merged, changed
}

// problemsError returns an error that lists the problems, one per line.
func problemsError(problems config.Problems) error {
	return invalidError("the configuration is not valid (%d problems):\n%s", len(problems), strings.Join(problems.Strings(), "\n"))
}

// readSources reads and parses all files that --file names.
func readSources(c *cli.Command) (*config.Source, error) {
	if len(c.StringSlice(flagFile)) == 0 {
		return nil, usageError("--%s is required", flagFile)
	}
	if c.Args().Present() {
		return nil, usageError("%q: name files by --%s", c.Args().First(), flagFile)
	}
	all := &config.Source{}
	var problems config.Problems
	for _, path := range c.StringSlice(flagFile) {
		files, err := filesOf(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			data, err := readFile(c.Root().Reader, file, operator.MaxBodyBytes)
			if err != nil {
				return nil, err
			}
			source, parseProblems := config.ParseSource(file, data)
			problems = append(problems, parseProblems...)
			problems = append(problems, all.Add(source)...)
		}
	}
	if len(problems) > 0 {
		return nil, problemsError(problems)
	}
	if len(all.Resources) == 0 {
		return nil, invalidError("no documents in %s", strings.Join(c.StringSlice(flagFile), ", "))
	}
	return all, nil
}

// standardInput is the value of --file that stands for standard input.
const standardInput = "-"

// filesOf returns the .yaml and .yml files below a folder in lexical order, or path itself if it is a file.
func filesOf(path string) ([]string, error) {
	if path == standardInput {
		return []string{path}, nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, usageError("--%s: %v", flagFile, err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
		extension := filepath.Ext(file)
		if err == nil && !entry.IsDir() && (extension == ".yaml" || extension == ".yml") {
			files = append(files, file)
		}
		return err
	})
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", path)
	}
	if len(files) == 0 {
		return nil, usageError("--%s: no .yaml files in %s", flagFile, path)
	}
	return files, nil
}

// readFile reads a file or standard input. Input that is longer than limit is an error.
func readFile(in io.Reader, path string, limit int64) ([]byte, error) {
	if path != standardInput {
		file, err := os.Open(path)
		if err != nil {
			return nil, usageError("--%s: %v", flagFile, err)
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, limit+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", path)
	}
	if int64(len(data)) > limit {
		return nil, invalidError("%s is longer than %d bytes", path, limit)
	}
	return data, nil
}
