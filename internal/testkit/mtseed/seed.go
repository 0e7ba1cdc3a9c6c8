package mtseed

import (
	"flag"

	// rapid registers the flag that init sets.
	_ "pgregory.net/rapid"
)

const rapidSeed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
}
