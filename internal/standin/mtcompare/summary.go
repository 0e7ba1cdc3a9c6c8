package mtcompare

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// Pair is one day with a seed, played on both revisions.
type Pair struct {
	// Site is the path of the site file, below the directory of the system.
	Site string
	Day  string
	Seed uint64
	// Before and After are the figures of the two revisions.
	Before, After Figures
}

// meanWithError returns the mean of the samples and its standard error.
func meanWithError(samples []float64) (mean, standardError float64) {
	for _, sample := range samples {
		mean += sample / float64(len(samples))
	}
	if len(samples) < 2 {
		return mean, math.Inf(1)
	}
	variance := 0.0
	for _, sample := range samples {
		variance += (sample - mean) * (sample - mean) / float64(len(samples)-1)
	}
	return mean, math.Sqrt(variance / float64(len(samples)))
}

// writeSummary prints, per site, the means before and after and the mean difference with its standard error.
func writeSummary(out io.Writer, pairs []Pair) error {
	var sites []string
	for _, pair := range pairs {
		if !slices.Contains(sites, pair.Site) {
			sites = append(sites, pair.Site)
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, site := range sites {
		var ofSite []Pair
		for _, pair := range pairs {
			if pair.Site == site {
				ofSite = append(ofSite, pair)
			}
		}
		fmt.Fprintf(table, "%s, %d pairs\tbefore\tafter\tdifference\tstandard error\t\n", site, len(ofSite))
		for _, column := range columns {
			var before, difference []float64
			for _, pair := range ofSite {
				before = append(before, column.read(pair.Before))
				difference = append(difference, column.read(pair.After)-column.read(pair.Before))
			}
			meanBefore, _ := meanWithError(before)
			mean, standardError := meanWithError(difference)
			fmt.Fprintf(table, "%s\t%.4f\t%.4f\t%+.4f\t%.4f\t\n", column.name, meanBefore, meanBefore+mean, mean,
				standardError)
		}
	}
	return table.Flush()
}
