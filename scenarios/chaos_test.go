package scenarios

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// chaosPause is the time between two faults and the length of an outage. A suspended host resumes after three times that.
const chaosPause = 250 * time.Millisecond

// chaos injects random faults that a seed determines: chaos seed=N steps=N
func (d *driver) chaos(args []string) (string, error) {
	o := parse(args)
	random := rand.New(rand.NewPCG(uint64(o.number("seed", 1)), 0))
	counts := make(map[string]int)
	for range o.number("steps", 10) {
		name := []string{"lost append answer", "outage", "slow log", "lost call answer", "freeze", "kill"}[random.IntN(6)]
		host := d.system.Hosts[random.IntN(len(d.system.Hosts))].Name
		counts[name]++
		if err := d.inject(name, host); err != nil {
			return "", err
		}
		time.Sleep(chaosPause)
	}
	return fmt.Sprint(counts), nil
}

func (d *driver) inject(name, host string) error {
	var err error
	set := func(process, faults string) {
		if err == nil {
			_, err = d.fault([]string{process, faults})
		}
	}
	switch name {
	case "lost append answer":
		set("log", `{"lose":3}`)
	case "outage":
		set("log", `{"outage":true}`)
		time.Sleep(chaosPause)
		set("log", `{}`)
	case "slow log":
		set("log", `{"delay":"300ms"}`)
		time.Sleep(chaosPause)
		set("log", `{}`)
	case "lost call answer":
		set("desk-0", `{"lose":3}`)
	case "freeze":
		p := d.system.Find(host)
		_ = p.Signal(syscall.SIGSTOP)
		time.Sleep(3 * chaosPause)
		_ = p.Signal(syscall.SIGCONT)
	case "kill":
		p := d.system.Find(host)
		_ = p.Signal(syscall.SIGKILL)
		err = p.Restart(d.ctx)
	}
	return err
}
