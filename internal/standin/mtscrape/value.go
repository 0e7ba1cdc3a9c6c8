package mtscrape

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// Value returns one metric without labels of the instance at a control address, or 0 when the instance is gone.
func Value(control, name string) float64 {
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
