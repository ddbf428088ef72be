package settings

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write docs/settings.md")

const pageFile = "../../../docs/settings.md"

// TestPage guards against a settings page that no longer matches the types.
func TestPage(t *testing.T) {
	defaults, err := Decode([]byte(`{
		"id": "entry-0", "failure_domain": "gt-centro-a", "region": "gt-centro",
		"caller_address": "127.0.0.1:7200", "operator_address": "127.0.0.1:7201",
		"peer_address": "127.0.0.1:7202", "health_address": "127.0.0.1:7203",
		"debug_address": "127.0.0.1:7204", "platform_address": "127.0.0.1:7000"}`))
	require.NoError(t, err)

	page := "# Settings of an entry instance\n\n" +
		"Generated from the types of `primrosed/internal/settings` by `go test ./primrosed/internal/settings -update`.\n\n" +
		"The file is one JSON object. Unknown fields, invalid values and contradictions are refused at the start with\n" +
		"the path of the field; `primrosed check SETTINGS` reports the same without starting.\n\n" +
		"| field | type | default | meaning |\n| --- | --- | --- | --- |\n" +
		rows(reflect.ValueOf(defaults), "", comments(t))

	if *update {
		require.NoError(t, os.WriteFile(pageFile, []byte(page), 0o600))
	}

	got, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	require.Equal(t, page, string(got))
}

// comments returns the doc comment of each field by type and field name.
func comments(t *testing.T) map[string]string {
	t.Helper()

	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", nil, parser.ParseComments)
	require.NoError(t, err)

	out := make(map[string]string)

	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}

		if st, ok := spec.Type.(*ast.StructType); ok {
			for _, f := range st.Fields.List {
				for _, name := range f.Names {
					out[spec.Name.Name+"."+name.Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
				}
			}
		}

		return true
	})

	return out
}

func rows(v reflect.Value, prefix string, comments map[string]string) string {
	var b strings.Builder

	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := prefix + f.Tag.Get("json")

		if f.Type.Kind() == reflect.Struct {
			b.WriteString(rows(v.Field(i), name+".", comments))

			continue
		}

		def := "required"
		if prefix != "" || f.Type.Kind() == reflect.Slice {
			def = fmt.Sprint(v.Field(i))
		}

		b.WriteString("| `" + name + "` | " + f.Type.String() + " | " + def + " | " + comments[v.Type().Name()+"."+f.Name] + " |\n")
	}

	return b.String()
}
