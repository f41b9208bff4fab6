package dispatcher

import (
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/cachetracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
)

// maxParts is the number of parts of a prompt that are sent to the owner. Later parts are shared by few prompts.
const maxParts = 16

// encodeParts returns the first parts of a prompt for the owner, nil without prefix caching.
func (d *Dispatcher) encodeParts(parts []cachetracker.Part) []wire.PromptPart {
	if !d.PrefixCaching {
		return nil
	}
	var encoded []wire.PromptPart
	for _, p := range parts[:min(len(parts), maxParts)] {
		encoded = append(encoded, wire.PromptPart{ID: int(p.ID), Tokens: p.Tokens})
	}
	return encoded
}

// decodeParts returns the parts that another host has sent, up to the first invalid one.
func decodeParts(encoded []wire.PromptPart) []cachetracker.Part {
	var parts []cachetracker.Part
	for _, p := range encoded[:min(len(encoded), maxParts)] {
		if p.Tokens < 0 {
			break
		}
		parts = append(parts, cachetracker.Part{ID: uint64(p.ID), Tokens: p.Tokens})
	}
	return parts
}
