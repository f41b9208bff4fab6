package emulator

import (
	"cmp"
	"fmt"
	"net/netip"
	"strings"
)

// HostSettings are the settings of one host, as the platform writes them to its settings file.
type HostSettings struct {
	Name       string
	DataCentre string
	Seeds      []netip.AddrPort
	Callers    netip.AddrPort
	Ready      netip.AddrPort
	Peers      netip.AddrPort
	Directory  netip.AddrPort
	Operators  netip.AddrPort
	Store      netip.AddrPort
	MaxFiles   int
	// GraceS is the time between SIGTERM and SIGKILL in seconds; 0 stands for 2.
	GraceS int
	// DrainMs is how long endpoints serve on after they have left; 0 stands for 400.
	DrainMs int
	// RevokeMs is the time after which no host runs requests with a removed key; 0 sets strictRevoke to false.
	RevokeMs int
	// QuotaSlack is the amount by which all hosts together may exceed a quota in 8 s.
	QuotaSlack int
}

// Text returns the content of the settings file. Times are shorter than on the platform, so that tests are short.
func (hs HostSettings) Text() string {
	var seeds []string
	for _, s := range hs.Seeds {
		seeds = append(seeds, fmt.Sprintf("%q", s))
	}
	return fmt.Sprintf(`
nodeName = %q
zone = %q
ip = "127.0.0.1"
internalPorts = [7660, %d]
seeds = [%s]
somethingNew = true
bootstrap = true
heartbeatMs = 240
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
memoryMb = 120
maxFds = %d
[bounds]
contactMs = 600
drainMs = %d
configApplyMs = 400
graceS = %d
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 12
transitMs = 120
leaseMs = 600
thawMs = 100
ttl_max_s = 5
requireFence = true
strictRevoke = %t
revokeMs = %d
quotaWindowS = 8
quotaOver = 0.1
quotaSlack = %d
[platform]
address = %q
`, hs.Name, hs.DataCentre, hs.Operators.Port(), strings.Join(seeds, ","), hs.Callers, hs.Ready, hs.Peers, hs.Directory, hs.MaxFiles,
		cmp.Or(hs.DrainMs, 400), cmp.Or(hs.GraceS, 2), hs.RevokeMs > 0, hs.RevokeMs, hs.QuotaSlack, hs.Store)
}
