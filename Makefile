BIN := bin
MODULES := . ./parts

.PHONY: build demo test lint model measure fuzz clean

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/hornbeamctl lab demo

test: build
	cd parts && go test ./...
	go test ./...

$(BIN)/revive:
	go -C tools build -o $(CURDIR)/$(BIN)/revive github.com/mgechev/revive

lint: $(BIN)/revive
	test -z "$$(cd tools && go tool gofumpt -l ../cmd ../internal ../lab ../parts ../platform ../protocol ../scenarios ../transport)"
	for m in $(MODULES); do (cd $$m && go vet ./... && $(CURDIR)/$(BIN)/revive -set_exit_status ./...) || exit 1; done

model:
	spec/check

measure: build
	$(BIN)/hornbeamctl lab measure

fuzz:
	cd parts && go test -run xxx -fuzz FuzzParse -fuzztime 20s ./coordination/parser
	go test -run xxx -fuzz FuzzDecode -fuzztime 20s ./protocol/encoder

clean:
	rm -rf $(BIN) out
