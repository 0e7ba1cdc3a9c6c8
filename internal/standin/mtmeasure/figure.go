package mtmeasure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Figure is one measured number.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Target is the bound that the number should stay under, or 0 when there is none.
	Target float64 `json:"target,omitempty"`
}

// Print writes figures as JSON lines to one writer and as a table to another.
func Print(figures []Figure, lines, table io.Writer) error {
	encoder := json.NewEncoder(lines)
	columns := tabwriter.NewWriter(table, 0, 0, 2, ' ', 0)
	for _, figure := range figures {
		if err := encoder.Encode(figure); err != nil {
			return err
		}
		target := ""
		if figure.Target > 0 {
			target = fmt.Sprintf("target %g", figure.Target)
		}
		fmt.Fprintf(columns, "%s\t%.4g\t%s\t%s\n", figure.Name, figure.Value, figure.Unit, target)
	}
	return columns.Flush()
}
