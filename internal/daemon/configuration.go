package daemon

import (
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/linter"
	"github.com/hornbeamspan/hornbeamspan/platform"
)

// ParseConfiguration decodes a configuration of the platform for a check. The error is a *linter.RefusedError.
func ParseConfiguration(data []byte) (*linter.Document, error) { return platform.ParseDocument(data) }
