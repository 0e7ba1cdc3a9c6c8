package mtdiagnosis

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
)

// maxLineBytes bounds the length of a log line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// LogLine is one event in the log of an instance.
type LogLine struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Event    int            `json:"event"`
	Text     string         `json:"text"`
	Fields   map[string]any `json:"fields"`
}

// Report holds the log lines of one request, or of the whole time line, sorted by time.
type Report struct {
	ID    string    `json:"id,omitempty"`
	Lines []LogLine `json:"lines"`
	// Gaps are the events by which instances reported left-out or dropped log lines around the time of the request. It is
	// empty for the whole time line and for a request without lines.
	Gaps []LogLine `json:"gaps,omitempty"`
	// Cause states how the request ended and why; it is empty for the whole time line.
	Cause string `json:"cause,omitempty"`
}

// Read parses the log of one instance, or a log that a collector merged from several, and skips text that is not a log
// line. A line gets the instance name of the last start event with the same collector prefix, or else of the last start
// event without a prefix, as the file then belongs to one instance. Without such an event the name is the prefix, or
// else the name of the file.
func Read(from io.Reader, file string) ([]LogLine, error) {
	var lines []LogLine
	names := map[string]string{}
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, found := parseLine(scanner.Bytes())
		if !found {
			continue
		}
		prefix := collectorPrefix(scanner.Bytes())
		if line.Event == mtevent.InstanceStarted.Number {
			if name, ok := line.Fields["instance"].(string); ok {
				names[prefix] = name
			}
		}
		line.Instance = cmp.Or(names[prefix], names[""], prefix, file)
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// collectorPrefix returns the instance name that a collector has put before a line, the last word before the JSON
// object.
func collectorPrefix(text []byte) string {
	before, _, _ := bytes.Cut(text, []byte("{"))
	words := strings.FieldsFunc(string(before), func(r rune) bool {
		return unicode.IsSpace(r) || r == '|' || r == ':'
	})
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// parseLine parses the JSON object in a line and ignores a collector's prefix. It reports whether the line is a log
// line, an object with a number in the field "event".
func parseLine(text []byte) (LogLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return LogLine{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return LogLine{}, false
	}
	number, isNumber := fields["event"].(float64)
	if !isNumber {
		return LogLine{}, false
	}
	line := LogLine{
		Event:  int(number),
		Fields: fields,
	}
	line.Text, _ = fields["msg"].(string)
	if stamp, ok := fields["time"].(string); ok {
		// A line whose time can't be parsed keeps the zero time and sorts first, where it stands out as faulty.
		line.Time, _ = time.Parse(time.RFC3339Nano, stamp)
	}
	for _, name := range []string{"event", "msg", "time", "level"} {
		delete(fields, name)
	}
	return line, true
}

// Diagnose returns the report on the request with an ID, or on the whole time line when the ID is empty.
func Diagnose(id string, lines []LogLine) Report {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b LogLine) int {
		return a.Time.Compare(b.Time)
	})
	report := Report{
		ID: id,
	}
	if id == "" {
		report.Lines = sorted
		return report
	}
	for _, line := range sorted {
		if line.Fields["id"] == id {
			report.Lines = append(report.Lines, line)
		}
	}
	report.Gaps = findGaps(report.Lines, sorted)
	report.Cause = describeCause(report)
	if len(report.Lines) == 0 {
		report.Cause += describeAbruptEnds(sorted)
	}
	if len(report.Lines) == 0 {
		report.Gaps = nil
	}
	return report
}

// maxGapDistance bounds the time between a line of a request and a gap of the same instance that may concern the
// request.
const maxGapDistance = 2 * time.Second

// findGaps returns the events about left-out or dropped lines that may concern a request with the given lines, or all
// of them when the request has no line.
func findGaps(requestLines, all []LogLine) []LogLine {
	var found []LogLine
	for _, line := range all {
		if line.Event != mtevent.LogLinesDropped.Number && line.Event != mtevent.LogLinesOmitted.Number {
			continue
		}
		mayConcern := len(requestLines) == 0 || slices.ContainsFunc(requestLines, func(requestLine LogLine) bool {
			return requestLine.Instance == line.Instance && requestLine.Time.Sub(line.Time).Abs() < maxGapDistance
		})
		if mayConcern {
			found = append(found, line)
		}
	}
	return found
}

// describeAbruptEnds names the instances that started again without a stop event before; what they knew of a request
// is lost.
func describeAbruptEnds(sorted []LogLine) string {
	last := map[string]LogLine{}
	var ends []string
	for _, line := range sorted {
		before, known := last[line.Instance]
		if line.Event == mtevent.InstanceStarted.Number && known && before.Event != mtevent.InstanceStopped.Number {
			ends = append(ends, fmt.Sprintf("%s between %s and %s",
				line.Instance, before.Time.Format(clockFormat), line.Time.Format(clockFormat)))
		}
		last[line.Instance] = line
	}
	if len(ends) == 0 {
		return ""
	}
	return "; these instances ended without a word: " + strings.Join(ends, ", ")
}

// clockFormat is the layout of times in sentences.
const clockFormat = "15:04:05.000"

// describeCause returns a sentence that states how a request ended and why.
func describeCause(report Report) string {
	if len(report.Lines) == 0 {
		if len(report.Gaps) > 0 {
			return fmt.Sprintf("no line names the request; %d lines tell that others were left out", len(report.Gaps))
		}
		return "no line names the request"
	}
	return describeLine(report, report.Lines[len(report.Lines)-1])
}

// describeLine returns a sentence that states what a line of a request tells about its end.
func describeLine(report Report, last LogLine) string {
	value := func(name string) any {
		if found, ok := last.Fields[name]; ok {
			return found
		}
		return "unknown"
	}
	switch last.Event {
	case mtevent.CallAnswered.Number:
		return fmt.Sprintf("endpoint %v answered with status %v after %v ms",
			value("endpoint"), value("status"), value("took"))
	case mtevent.HelperAnswered.Number:
		return describeHelperAnswer(report, value)
	case mtevent.CallAbandoned.Number:
		return fmt.Sprintf("the caller left after %v ms, before an answer", value("took"))
	case mtevent.AttemptFailed.Number:
		return fmt.Sprintf("endpoint %v failed after %v ms; how the request ended is not in these logs",
			value("endpoint"), value("took"))
	case mtevent.CallRefused.Number:
		return describeRefusal(report, last, value)
	default:
		return last.Text
	}
}

// describeHelperAnswer returns the cause of the answer to a request that was passed on, which the helper's own line states.
func describeHelperAnswer(report Report, value func(string) any) string {
	text := fmt.Sprintf("this instance reached no endpoint, and passed the request on to %v, which answered with status %v after %v ms",
		value("helpers"), value("status"), value("took"))
	for _, line := range slices.Backward(report.Lines) {
		if line.Fields["relayed"] == true && line.Event != mtevent.AttemptFailed.Number {
			return text + "; there: " + describeLine(report, line)
		}
	}
	if reason := value("reason"); reason != "unknown" {
		return fmt.Sprintf("%s, reason %v; its own line is not in these logs", text, reason)
	}
	return text
}

// describeRefusal returns the cause of a request whose last event is a refusal.
func describeRefusal(report Report, last LogLine, value func(string) any) string {
	if last.Fields["mayrun"] == true && last.Fields["helpers"] != nil && last.Fields["endpoint"] == nil {
		return fmt.Sprintf("passed on to %v, which gave no whole answer (%v); it may have run, so it was not sent again: status %v after %v ms",
			value("helpers"), value("reason"), value("status"), value("took"))
	}
	if last.Fields["mayrun"] == true {
		return fmt.Sprintf("endpoint %v had the request and gave no whole answer (%v); it may have run, so it was not sent again: status %v after %v ms",
			value("endpoint"), value("reason"), value("status"), value("took"))
	}
	switch last.Fields["reason"] {
	case "overload":
		return describeOverload(last, value)
	case "link":
		return fmt.Sprintf("refused as not run: the link of the instance was full; the expected wait for it was %v ms, with %v ms left of the objective; the caller was asked to come back after %v ms",
			value("wait"), value("left"), value("after"))
	case "cut":
		return fmt.Sprintf("refused as not run after %v ms: the instance reached no endpoint of the service, and no other instance took the request",
			value("took"))
	case "evacuated":
		return fmt.Sprintf("refused as not run after %v ms: all endpoints of the service are in evacuated zones (event 560 names them); the caller was asked to come back after %v ms",
			value("took"), value("after"))
	case "leaving":
		return fmt.Sprintf("refused as not run after %v ms: the instance ended before an endpoint had the request", value("took"))
	case "notready":
		return fmt.Sprintf("refused as not run with status %v: the instance had no configuration or no endpoints yet",
			value("status"))
	case "unauthorized":
		return fmt.Sprintf("refused as not run with status %v: configuration r%v has no tenant with its key, or it carried none or several",
			value("status"), value("version"))
	case "undecided":
		return fmt.Sprintf("refused as not run with status %v: configuration r%v does not have its key, but the instance could not know whether that was still the newest",
			value("status"), value("version"))
	case "quota":
		return fmt.Sprintf("refused as not run with status %v: tenant %v had used up its quota, which counts over all instances; the caller was asked to come back after %v ms",
			value("status"), value("tenant"), value("after"))
	case "noroute":
		return fmt.Sprintf("status %v: configuration r%v has no route for %v%v",
			value("status"), value("version"), value("host"), value("target"))
	case "timeout", "":
		return fmt.Sprintf("the time of the request ended after %v ms before an endpoint had it; it has not run",
			value("took"))
	case "shed":
		return fmt.Sprintf("refused as not run after %v ms: endpoint %v did not take it, and %s",
			value("took"), value("endpoint"), retryLimit(report))
	default:
		return fmt.Sprintf("refused as not run (%v) after %v ms", value("reason"), value("took"))
	}
}

// retryLimit states why a request was not sent to a further endpoint.
func retryLimit(report Report) string {
	for _, line := range report.Lines {
		if line.Event == mtevent.ExtraAttemptNeeded.Number && line.Fields["allowed"] == false {
			return "the retry budget allowed no further one"
		}
	}
	return "its route allowed no further one"
}

// describeOverload returns the cause of a request that was refused because of its expected wait.
func describeOverload(last LogLine, value func(string) any) string {
	why := fmt.Sprintf("the expected wait was %v ms with %v ms left of the objective", value("wait"), value("left"))
	if work, ok := last.Fields["work"]; ok {
		why = fmt.Sprintf("the expected wait was %v ms and the work takes some %v ms, with %v ms left of the objective",
			value("wait"), work, value("left"))
	}
	if left, ok := last.Fields["left"].(float64); ok && left < 0 {
		why = fmt.Sprintf("it arrived %v ms past its objective, and late requests wait only while all others find room",
			-left)
	}
	return fmt.Sprintf("refused as not run: %s; the caller was asked to come back after %v ms", why, value("after"))
}

// Write writes the report as text: one line for each event, then the cause.
func (r Report) Write(to io.Writer) error {
	for _, line := range r.Lines {
		if err := line.write(to, ""); err != nil {
			return err
		}
	}
	for _, line := range r.Gaps {
		if err := line.write(to, "gap: "); err != nil {
			return err
		}
	}
	if r.Cause == "" {
		return nil
	}
	_, err := fmt.Fprintf(to, "cause: %s\n", r.Cause)
	return err
}

func (l LogLine) write(to io.Writer, prefix string) error {
	var fields []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fields = append(fields, fmt.Sprintf("%s=%v", name, l.Fields[name]))
	}
	_, err := fmt.Fprintf(to, "%s%s %s %d %s: %s\n",
		prefix, l.Time.Format("15:04:05.000"), l.Instance, l.Event, l.Text, strings.Join(fields, " "))
	return err
}
