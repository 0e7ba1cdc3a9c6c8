package mtdocument_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/mangotack/mangotack/internal/adapter/mtdocument"
	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

var kinds = map[mtdocument.Kind]proto.Message{
	mtdocument.Settings: &settingsv1.Settings{},
	mtdocument.Standin:  &settingsv1.Standin{},
	mtdocument.Bundle:   &recordv1.Bundle{},
}

func FuzzRead(f *testing.F) {
	for _, pattern := range []string{"../../../examples/*/*.json", "../../../cases/*/*.json"} {
		files, err := filepath.Glob(pattern)
		require.NoError(f, err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(f, err)
			f.Add(text)
		}
	}
	f.Fuzz(func(_ *testing.T, text []byte) {
		for kind, into := range kinds {
			mtdocument.Read(text, kind, proto.Clone(into))
		}
	})
}

// The schemas and the messages describe the same documents; a field in only one of them could never be set.
func TestSchemasNameTheFieldsOfTheMessages(t *testing.T) {
	for kind, message := range kinds {
		text, err := os.ReadFile(string(kind) + ".schema.json")
		require.NoError(t, err)
		schema := map[string]any{}
		require.NoError(t, json.Unmarshal(text, &schema))
		definitions, _ := schema["$defs"].(map[string]any)
		requireFields(t, string(kind), schema, definitions, message.ProtoReflect().Descriptor())
	}
}

func requireFields(t *testing.T, at string, schema, definitions map[string]any, message protoreflect.MessageDescriptor) {
	properties, _ := schema["properties"].(map[string]any)
	require.Equal(t, message.Fields().Len(), len(properties), at)
	for name, property := range properties {
		field := message.Fields().ByName(protoreflect.Name(name))
		require.NotNil(t, field, "%s/%s", at, name)
		inner := resolve(property.(map[string]any), definitions)
		if inner["type"] == "object" {
			requireFields(t, at+"/"+name, inner, definitions, field.Message())
		}
	}
}

func resolve(schema, definitions map[string]any) map[string]any {
	if reference, ok := schema["$ref"].(string); ok {
		return definitions[strings.TrimPrefix(reference, "#/$defs/")].(map[string]any)
	}
	if items, ok := schema["items"].(map[string]any); ok {
		return resolve(items, definitions)
	}
	return schema
}

func TestFindingsNeverQuoteASecret(t *testing.T) {
	text := `{"instance": "a", "peer": "secret-1", "key": "secret-2", "operators": ["secret-3"]}`
	for _, finding := range mtdocument.Read([]byte(text), mtdocument.Settings, &settingsv1.Settings{}) {
		require.NotContains(t, finding.String(), "secret-")
	}
}
