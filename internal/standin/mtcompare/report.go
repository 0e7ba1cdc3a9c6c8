package mtcompare

import (
	"encoding/json"
	"fmt"
	"os"
)

// Figures are what one play of a day came to. Costs are in units of worth.
type Figures struct {
	Worth float64
	// WorstWindows is the worth of the two worst windows, from 0 to 1.
	WorstWindows float64
	// InAim, Late, Refused and Failed are the parts of the requests that ended so, in percent.
	InAim, Late, Refused, Failed float64
	// Connections is the number of new connections to endpoints, StoreCalls that of calls to the store.
	Connections, StoreCalls float64
	// CrossBytes is the number of megabytes between data centres.
	CrossBytes float64
}

// columns are the figures in the order in which they are printed.
var columns = []struct {
	name string
	read func(Figures) float64
}{
	{"worth", func(f Figures) float64 { return f.Worth }},
	{"windows", func(f Figures) float64 { return f.WorstWindows }},
	{"in aim %", func(f Figures) float64 { return f.InAim }},
	{"late %", func(f Figures) float64 { return f.Late }},
	{"refused %", func(f Figures) float64 { return f.Refused }},
	{"failed %", func(f Figures) float64 { return f.Failed }},
	{"connections", func(f Figures) float64 { return f.Connections }},
	{"store calls", func(f Figures) float64 { return f.StoreCalls }},
	{"cross MB", func(f Figures) float64 { return f.CrossBytes }},
}

// The names of prices and parts in a report.
const (
	connectionsPrice = "new connections to servers"
	storeCallsPrice  = "cloud calls"
	crossBytesPrice  = "GB between zones"
	windowsPart      = "worst windows"
)

// readReport reads the figures of a report file; a day with a fault or a broken rule is an error.
func readReport(path string) (Figures, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Figures{}, err
	}
	report := struct {
		Worth  float64        `json:"G"`
		Fault  any            `json:"fault"`
		Breaks map[string]any `json:"breaks"`
		Parts  [][]any        `json:"parts"`
		Prices [][]any        `json:"prices"`
		All    map[string]any `json:"all"`
	}{}
	if err := json.Unmarshal(data, &report); err != nil {
		return Figures{}, fmt.Errorf("%s: %w", path, err)
	}
	if report.Fault != nil || len(report.Breaks) > 0 {
		return Figures{}, fmt.Errorf("%s: found fault %v and broken rules %v, expected none", path, report.Fault, report.Breaks)
	}
	count := func(name string) float64 {
		number, _ := report.All[name].(float64)
		return number
	}
	ofAll := func(name string) float64 {
		return 100 * count(name) / max(1, count("n")-count("not_owed"))
	}
	return Figures{
		Worth:        report.Worth,
		WorstWindows: valueOf(report.Parts, windowsPart, 0, 2),
		InAim:        ofAll("in_aim"),
		Late:         ofAll("late"),
		Refused:      ofAll("refused"),
		Failed:       ofAll("failed"),
		Connections:  valueOf(report.Prices, connectionsPrice, 0, 1),
		StoreCalls:   valueOf(report.Prices, storeCallsPrice, 0, 1),
		CrossBytes:   1000 * valueOf(report.Prices, crossBytesPrice, 0, 1),
	}, nil
}

// valueOf returns the number at a column of the row whose column named name holds the text.
func valueOf(rows [][]any, text string, name, column int) float64 {
	for _, row := range rows {
		if len(row) > max(name, column) && row[name] == text {
			number, _ := row[column].(float64)
			return number
		}
	}
	return 0
}
