package launcher

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"github.com/hornbeamspan/hornbeamspan/lab/loadgenerator"
)

// DefaultTargets are the latency targets of the demonstration.
var DefaultTargets = loadgenerator.Targets{Start: 390 * time.Millisecond, Finish: 3 * time.Second, Lookup: 200 * time.Millisecond}

// Rules returns a rule file with the pools of a launched system and the latency targets t.
func Rules(t loadgenerator.Targets) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+" # lab: launched system\n", args...) }
	line("pool prefill kind=prefill")
	line("pool decode kind=decode")
	line("pool desk kind=service")
	line("model writer prefill=prefill decode=decode start=%s finish=%s", t.Start, t.Finish)
	line("once tickets service=desk method=POST path=/tickets status=/status")
	line("lookup desk finish=%s hedge=%s", 10*t.Lookup, t.Lookup)
	line("organisation lab token=%x", sha256.Sum256([]byte(Token)))
	return b.String()
}
