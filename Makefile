# The targets that people and CI use; everything they need comes from the module file.

.PHONY: build check demo measure docs cases soak soak-race soak-seeds

build:
	go build -o bin/ ./cmd/...

check:
	scripts/check.sh

demo: build
	scripts/demo.sh

# cases replays the case directories and golden sessions and rewrites what they expect; read the diff before a commit.
cases:
	go test ./internal/verb/mtverb -rewrite
	git diff --stat -- cases internal/verb

measure: build
	bin/mangotack-measure

# docs rewrites the generated pages and the output of the examples in all pages.
docs:
	go test ./docs -rewrite

# soak plays faults against real gateways: make soak SEED=1 SECONDS=30
SEED ?= 1
SECONDS ?= 30
soak: build
	bin/mangotack-soak --seed $(SEED) --for $(SECONDS)s

# soak-race does the same with gateways that watch for data races; one ends its process with status 66, which the soak reports.
soak-race: build
	go build -race -o bin/mangotack-race ./cmd/mangotack
	bin/mangotack-soak --binary bin/mangotack-race --untimed --seed $(SEED) --for $(SECONDS)s

# soak-seeds plays the seeds that have found something before.
soak-seeds: build
	scripts/soak_seeds.sh
