package mtscrape

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// MetricValue returns the value of a metric without labels from the instance at a control address. It returns 0 if the
// instance can't be reached or has no such metric.
func MetricValue(control, name string) float64 {
	response, err := http.Get("http://" + control + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), name+" "); found {
			value, _ := strconv.ParseFloat(text, 64)
			return value
		}
	}
	return 0
}
