// Package wire defines the messages between hosts and the records of the log. It is generated from wire.json.
package wire

//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json --capitalization ID -p wire -o ../protocol/wire/wire.go ../protocol/wire/wire.json
