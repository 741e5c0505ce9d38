package conform

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report as a human-readable table, followed by the counts of verdicts.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	count := map[Verdict]int{}
	for _, result := range r.Results {
		count[result.Verdict]++
		line := fmt.Sprintf("%s\t%s\t%s\t%s", result.ID, result.Verdict, result.Section, result.Text)
		if result.Why != "" {
			line += ": " + result.Why
		}
		fmt.Fprintln(t, line)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	_, err := fmt.Fprintf(w, "%s: %d pass, %d fail, %d skipped\n", r.URL, count[Pass], count[Fail], count[Skip])
	return err
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}
