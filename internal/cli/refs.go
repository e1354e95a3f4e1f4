package cli

import (
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/operator"
)

// kindAll stands for every kind on the command line.
const kindAll = "all"

// parseKind returns the kind that text names in any case, in the singular or plural, with or without hyphens.
func parseKind(text string) (string, error) {
	lower := strings.ReplaceAll(strings.ToLower(text), "-", "")
	for _, kind := range config.Kinds() {
		singular := strings.ToLower(kind)
		if lower == singular || lower == singular+"s" || lower == singular+"es" {
			return kind, nil
		}
	}
	if lower == "key" || lower == "keys" {
		return "", usageError("keys are not documents; see: keys list")
	}
	return "", usageError("%q is not a kind; allowed: %s", text, strings.ToLower(strings.Join(config.Kinds(), ", ")))
}

// parseRefs parses the arguments KIND NAME... or KIND/NAME... KIND alone returns no references.
func parseRefs(args []string) ([]operator.DocumentRef, error) {
	if len(args) == 0 {
		return nil, usageError("name a kind and documents, as in: route booking, or route/booking")
	}
	if strings.Contains(args[0], "/") {
		var refs []operator.DocumentRef
		for _, arg := range args {
			kindText, name, found := strings.Cut(arg, "/")
			if !found || name == "" {
				return nil, usageError("%q is not KIND/NAME", arg)
			}
			kind, err := parseKind(kindText)
			if err != nil {
				return nil, err
			}
			refs = append(refs, operator.DocumentRef{Kind: kind, Name: name})
		}
		return refs, nil
	}
	kind, err := parseKind(args[0])
	if err != nil {
		return nil, err
	}
	var refs []operator.DocumentRef
	for _, name := range args[1:] {
		if strings.Contains(name, "/") {
			return nil, usageError("%q: write either KIND NAME... or KIND/NAME...", name)
		}
		refs = append(refs, operator.DocumentRef{Kind: kind, Name: name})
	}
	return refs, nil
}

// find returns the document of the configuration that ref names, or an error with ExitNotFound.
func find(configuration *operator.Configuration, ref operator.DocumentRef) (operator.Document, error) {
	for _, d := range configuration.Documents {
		if d.Kind == ref.Kind && d.Name == ref.Name {
			return d, nil
		}
	}
	return operator.Document{}, notFoundError("%s %q does not exist at revision %d", ref.Kind, ref.Name, configuration.Revision)
}

// parseSelector parses the value of the selector flag. An empty one matches everything.
func parseSelector(text string) (labels.Selector, error) {
	selector, err := labels.Parse(text)
	if err != nil {
		return nil, usageError("--%s %q is not a selector: %v", flagSelector, text, err)
	}
	return selector, nil
}
