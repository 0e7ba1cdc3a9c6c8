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

var messagesByKind = map[mtdocument.Kind]proto.Message{
	mtdocument.Settings: &settingsv1.Settings{},
	mtdocument.Standin:  &settingsv1.Standin{},
	mtdocument.Bundle:   &recordv1.Bundle{},
}

func FuzzRead(f *testing.F) {
	for _, pattern := range []string{"../../../examples/*/*.json", "../../../cases/*/*.json"} {
		files, err := filepath.Glob(pattern)
		require.NoError(f, err)
		for _, file := range files {
			document, err := os.ReadFile(file)
			require.NoError(f, err)
			f.Add(document)
		}
	}
	f.Fuzz(func(_ *testing.T, document []byte) {
		for kind, message := range messagesByKind {
			mtdocument.Read(document, kind, proto.Clone(message))
		}
	})
}

// A field that only the schema or only the message has could never be set.
func TestSchemasHaveTheFieldsOfTheMessages(t *testing.T) {
	for kind, message := range messagesByKind {
		data, err := os.ReadFile(string(kind) + ".schema.json")
		require.NoError(t, err)
		schema := map[string]any{}
		require.NoError(t, json.Unmarshal(data, &schema))
		definitions, _ := schema["$defs"].(map[string]any)
		requireFields(t, string(kind), schema, definitions, message.ProtoReflect().Descriptor())
	}
}

// requireFields requires that a schema and a message have the same fields, nested objects included.
func requireFields(
	t *testing.T, path string, schema, definitions map[string]any, message protoreflect.MessageDescriptor,
) {
	properties, _ := schema["properties"].(map[string]any)
	require.Equal(t, message.Fields().Len(), len(properties), path)
	for name, property := range properties {
		field := message.Fields().ByName(protoreflect.Name(name))
		require.NotNil(t, field, "%s/%s", path, name)
		propertySchema := resolveSchema(property.(map[string]any), definitions)
		if propertySchema["type"] == "object" {
			requireFields(t, path+"/"+name, propertySchema, definitions, field.Message())
		}
	}
}

// resolveSchema follows references, and returns the schema of the items for an array.
func resolveSchema(schema, definitions map[string]any) map[string]any {
	if reference, ok := schema["$ref"].(string); ok {
		return definitions[strings.TrimPrefix(reference, "#/$defs/")].(map[string]any)
	}
	if items, ok := schema["items"].(map[string]any); ok {
		return resolveSchema(items, definitions)
	}
	return schema
}

func TestFindingsNeverQuoteASecret(t *testing.T) {
	document := `{"instance": "a", "peer": "secret-1", "key": "secret-2", "operators": ["secret-3"]}`
	for _, finding := range mtdocument.Read([]byte(document), mtdocument.Settings, &settingsv1.Settings{}) {
		require.NotContains(t, finding.String(), "secret-")
	}
}
