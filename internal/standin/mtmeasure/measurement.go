package mtmeasure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Measurement is one measured value.
type Measurement struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Target is the upper bound for the value, or 0 if there is none.
	Target float64 `json:"target,omitempty"`
}

// PrintMeasurements writes measurements as JSON lines to one writer and as a table to another.
func PrintMeasurements(measurements []Measurement, jsonLines, table io.Writer) error {
	encoder := json.NewEncoder(jsonLines)
	columns := tabwriter.NewWriter(table, 0, 0, 2, ' ', 0)
	for _, measurement := range measurements {
		if err := encoder.Encode(measurement); err != nil {
			return err
		}
		targetText := ""
		if measurement.Target > 0 {
			targetText = fmt.Sprintf("target %g", measurement.Target)
		}
		fmt.Fprintf(columns, "%s\t%.4g\t%s\t%s\n", measurement.Name, measurement.Value, measurement.Unit, targetText)
	}
	return columns.Flush()
}
