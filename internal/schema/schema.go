// Package schema checks documents by JSON schemas that the program carries.
package schema

import (
	"bytes"
	"strings"
	"sync"

	"github.com/gravitational/trace"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Schema is a schema, compiled when it is first used.
type Schema struct {
	compiled func() (*jsonschema.Schema, error)
}

// New returns the schema of a text, which errors call by the name.
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

// maxFaults bounds an error: a long document may have a fault in each item.
const maxFaults = 8

// Validate checks a document of JSON. An error is a trace.BadParameter that names its faults.
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
		return trace.BadParameter("%s", strings.Join(lines[:min(len(lines), maxFaults)], "; "))
	}
	return nil
}
