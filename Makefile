# The targets that people and CI use; everything they need comes from the module file.

.PHONY: build check demo measure docs cases

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
