# The targets that people and CI use; everything they need comes from the module file.

.PHONY: build check demo measure docs cases

build:
	go build -o bin/ ./cmd/...

check:
	scripts/check.sh

demo: build
	scripts/demo.sh
