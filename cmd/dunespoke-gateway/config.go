package main

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"dunespoke/internal/routing"
)

type configGet struct{ endpoint }

// Execute prints the newest configuration, exactly as it was put.
func (c *configGet) Execute([]string) error {
	text, err := c.call("config.read", nil)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return trace.Wrap(err)
}

// configFile is the argument that names a file with a configuration.
type configFile struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"configuration file, JSON"`
	} `positional-args:"yes" required:"yes"`
}

// read reads and validates the file.
func (f configFile) read() ([]byte, *routing.Table, error) {
	text, err := os.ReadFile(f.Args.File)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	table, err := routing.Validate(text)
	return text, table, trace.Wrap(err, "%s", f.Args.File)
}

type configPut struct {
	endpoint
	configFile
}

// Execute validates a configuration and sends it.
func (c *configPut) Execute([]string) error {
	text, table, err := c.read()
	if err != nil {
		return err
	}
	if _, err := c.call("config.replace", text); err != nil {
		return err
	}
	fmt.Printf("%s: acknowledged\n", table)
	return nil
}

type configDiff struct {
	endpoint
	configFile
}

// Execute prints the differences between the newest configuration and the one in the file.
func (c *configDiff) Execute([]string) error {
	_, next, err := c.read()
	if err != nil {
		return err
	}
	text, err := c.call("config.read", nil)
	if err != nil {
		return err
	}
	current, err := routing.Parse(text)
	if err != nil {
		return trace.Wrap(err, "the newest configuration")
	}
	if next.Version <= current.Version {
		fmt.Printf("r%d is not above r%d: it would be acknowledged, and change nothing\n", next.Version,
			current.Version)
	}
	for _, line := range routing.Diff(current, next) {
		fmt.Println(line)
	}
	return nil
}
