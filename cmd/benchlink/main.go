// Command benchlink lets a simulator drive the gates of package choice over a line protocol: it reads batches
// of events from standard input and writes the gates' actions to standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run processes batches until the input ends. Output is flushed after each complete batch.
func run(in io.Reader, out io.Writer) error {
	w := bufio.NewWriterSize(out, 1<<16)
	a := newAdapter(w)
	sc := bufio.NewScanner(in)
	sc.Buffer(make([]byte, 1<<16), 1<<26)
	lineNumber := 0
	for sc.Scan() {
		lineNumber++
		batchComplete, err := a.handleLine(sc.Text())
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		if batchComplete {
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("line %d: %w", lineNumber+1, err)
	}
	if a.inBatch {
		return fmt.Errorf("line %d: input ended inside a batch: COMMIT is missing", lineNumber)
	}
	return nil
}
