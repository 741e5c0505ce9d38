// Package schema validates JSON documents against JSON schemas that are embedded in the program.
package schema

import (
	"bytes"
	"strings"
	"sync"

	"github.com/gravitational/trace"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Schema is a JSON schema, compiled on first use.
type Schema struct {
	compiled func() (*jsonschema.Schema, error)
}

// New returns the schema with the given JSON text. Its resource name, which errors show, is
// urn:dunespoke:NAME. An invalid schema is reported by the first call of Validate.
func New(name string, text []byte) Schema {
	return Schema{sync.OnceValues(func() (*jsonschema.Schema, error) {
		doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		c := jsonschema.NewCompiler()
		if err := c.AddResource("urn:dunespoke:"+name, doc); err != nil {
			return nil, trace.Wrap(err)
		}
		s, err := c.Compile("urn:dunespoke:" + name)
		return s, trace.Wrap(err)
	})}
}

// maxErrorLines limits an error text: a long document may have a fault in each item.
const maxErrorLines = 8

// Validate checks a JSON document. If the document is invalid, the error is a trace.BadParameter that lists
// its faults.
func (s Schema) Validate(text []byte) error {
	compiled, err := s.compiled()
	if err != nil {
		return trace.Wrap(err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return trace.BadParameter("can't be read whole: %v", err)
	}
	if err := compiled.Validate(doc); err != nil {
		lines := strings.Split(err.Error(), "\n")
		return trace.BadParameter("%s", strings.Join(lines[:min(len(lines), maxErrorLines)], "; "))
	}
	return nil
}
