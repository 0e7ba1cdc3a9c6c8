# Targets for developers and CI; all tools that they need come from the module file.

.PHONY: build check demo measure docs cases soak soak-race soak-seeds

build:
	go build -o bin/ ./cmd/...

check:
	scripts/check.sh

demo: build
	scripts/demo.sh

# cases runs the case directories and golden sessions and rewrites their expected output; review the diff before a
# commit.
cases:
	go test ./internal/verb/mtverb -rewrite
	git diff --stat -- cases internal/verb

measure: build
	bin/mangotack-measure

# docs rewrites the generated pages and the output of the examples on all pages.
docs:
	go test ./docs -rewrite

# soak injects faults into gateway processes, for example: make soak SEED=1 SECONDS=30
SEED ?= 1
SECONDS ?= 30
soak: build
	bin/mangotack-soak --seed $(SEED) --for $(SECONDS)s --zones 3

# soak-race does the same with gateways built with the race detector. A data race ends the gateway with status 66, which
# the soak reports.
soak-race: build
	go build -race -o bin/mangotack-race ./cmd/mangotack
	bin/mangotack-soak --binary bin/mangotack-race --untimed --seed $(SEED) --for $(SECONDS)s

# soak-seeds runs the seeds that have found a fault before.
soak-seeds: build
	scripts/soak_seeds.sh
