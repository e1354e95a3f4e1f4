package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Guards against a field of which the decoder drops an earlier value, and against names that only look the same.
func TestFindDuplicateField(t *testing.T) {
	for text, want := range map[string]string{
		`{"a":1,"a":2}`:                          `a occurs twice, at bytes 1 and 7`,
		`{"a":1,"A":2}`:                          `A occurs twice, at bytes 1 and 7`,
		`{"k":1,"\u212a":2}`:                     "\u212a occurs twice, at bytes 1 and 7",
		`{"a\u0062":1, "ab":2}`:                  `ab occurs twice, at bytes 1 and 14`,
		`{"a":[{"b":1},{"b":"b","c":{},"c":1}]}`: `a[1].c occurs twice, at bytes 23 and 30`,
		`[[1,{"a":null,"a":[]}]]`:                `[0][1].a occurs twice, at bytes 5 and 14`,
		`{"labels":{"x":"1","x":"2"}}`:           `labels.x occurs twice, at bytes 11 and 19`,
		`{"labels":{"x":"1","X":"2"}}`:           ``,
		`{"labels":[{"x":1,"X":2}]}`:             `labels[0].X occurs twice, at bytes 12 and 18`,
		`{"a":{"b":1},"b":{"a":1},"c":"c"}`:      ``,
		`{"a":"a","b":["b","b","b"]}`:            ``,
		`{"a":1e999,"b":{`:                       ``,
		``:                                       ``,
	} {
		duplicate := FindDuplicateField([]byte(text), "labels")
		if want == "" {
			require.Nil(t, duplicate, text)
			continue
		}
		require.NotNil(t, duplicate, text)
		require.Equal(t, want, duplicate.Error(), text)
	}
}

// Guards against a change of which one of two documents of the same name is dropped, and against a key that stands twice.
func TestDuplicatesOfAChange(t *testing.T) {
	digest := strings.Repeat("ab", 32)
	organisation := func(name, spec string) *apiv1.Resource {
		return &apiv1.Resource{Kind: KindOrganisation, Name: name, Spec: []byte(spec)}
	}
	keys := `{"keyDigests":["` + digest + `","` + strings.Repeat("cd", 32) + `","` + strings.ToUpper(digest) + `"]}`
	problems := Duplicates([]*apiv1.Resource{
		organisation("a", `{}`), organisation("b", keys), {Kind: KindClass, Name: "a", Spec: []byte(`{"priority":1}`)}, organisation("a", `{}`),
	})
	require.Equal(t, []string{
		"Organisation/b: spec.keyDigests: places 0 and 2 have the same digest",
		"Organisation/a: name: occurs twice, as documents 0 and 3 of the change",
	}, problems.Strings())
}
