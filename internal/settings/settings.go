// Package settings reads options from flags and environment variables and reports every fault at once.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"
)

// Option is one setting. Its environment variable is the program's prefix, "_" and the name in upper case.
type Option struct {
	Name    string
	Default string
	Doc     string
}

// ValueError reports a setting with a value that is not allowed.
type ValueError struct {
	Name    string
	Value   string
	Allowed string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("settings: unable to use --%s=%q: allowed is %s", e.Name, e.Value, e.Allowed)
}

// Add gives cmd the flags of options, which environment variables with prefix can set too.
func Add(cmd *cobra.Command, prefix string, options []Option) *Reader {
	v := viper.New()
	v.SetEnvPrefix(prefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	for _, o := range options {
		env := prefix + "_" + strings.ToUpper(strings.ReplaceAll(o.Name, "-", "_"))
		cmd.Flags().String(o.Name, o.Default, o.Doc+" ["+env+"]")
		_ = v.BindPFlag(o.Name, cmd.Flags().Lookup(o.Name))
	}
	return &Reader{values: v}
}

// Reader reads values and collects faults.
type Reader struct {
	values *viper.Viper
	faults []error
}

// Err returns all faults so far, joined; each is a *ValueError.
func (r *Reader) Err() error { return errors.Join(r.faults...) }

// Reject notes a fault of a setting that was read.
func (r *Reader) Reject(name, allowed string) { r.addFault(name, allowed) }

func (r *Reader) addFault(name, allowed string) {
	r.faults = append(r.faults, &ValueError{Name: name, Value: r.values.GetString(name), Allowed: allowed})
}

// Text returns a value as it is.
func (r *Reader) Text(name string) string { return r.values.GetString(name) }

// Required returns a value that must not be empty.
func (r *Reader) Required(name string) string {
	s := r.Text(name)
	if s == "" {
		r.addFault(name, "any text but none")
	}
	return s
}

// OneOf returns a value that must be one of allowed.
func (r *Reader) OneOf(name string, allowed ...string) string {
	s := r.Text(name)
	if !slices.Contains(allowed, s) {
		r.addFault(name, "one of "+strings.Join(allowed, ", "))
	}
	return s
}

// Duration returns a duration of at least least.
func (r *Reader) Duration(name string, least time.Duration) time.Duration {
	d, err := time.ParseDuration(r.Text(name))
	if err != nil || d < least {
		r.addFault(name, "a duration of "+least.String()+" or more, such as 500ms or 2s")
	}
	return d
}

// Integer returns a whole number from least to most.
func (r *Reader) Integer(name string, least, most int) int {
	n, err := strconv.Atoi(r.Text(name))
	if err != nil || n < least || n > most {
		r.addFault(name, fmt.Sprintf("a whole number from %d to %d", least, most))
	}
	return n
}

// Number returns a number of at least least.
func (r *Reader) Number(name string, least float64) float64 {
	n, err := strconv.ParseFloat(r.Text(name), 64)
	if err != nil || n < least {
		r.addFault(name, fmt.Sprintf("a number of %g or more", least))
	}
	return n
}

// Flag returns true or false.
func (r *Reader) Bool(name string) bool {
	b, err := strconv.ParseBool(r.Text(name))
	if err != nil {
		r.addFault(name, "true or false")
	}
	return b
}

const addressForm = "an IP address and a port, such as 127.0.0.1:8100"

// Address returns an address.
func (r *Reader) Address(name string) netip.AddrPort {
	a, err := netip.ParseAddrPort(r.Text(name))
	if err != nil {
		r.addFault(name, addressForm)
	}
	return a
}

// Addresses returns a list of addresses that may be empty.
func (r *Reader) Addresses(name string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, s := range strings.Split(r.Text(name), ",") {
		if s == "" {
			continue
		}
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			r.addFault(name, "a list with commas of "+addressForm)
			return nil
		}
		list = append(list, a)
	}
	return list
}
