// Package settings reads options from flags and environment variables and reports all invalid values at once.
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

// Option is one setting. Its environment variable is the prefix of the command, "_" and the name in upper case with
// underscores for hyphens.
type Option struct {
	Name    string
	Default string
	Doc     string
}

// ValueError reports a setting with an invalid value.
type ValueError struct {
	Name    string
	Value   string
	Allowed string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("settings: unable to use --%s=%q: expected %s", e.Name, e.Value, e.Allowed)
}

// Add adds a flag for each option to cmd. Flags that are not given take their values from environment variables with
// the prefix.
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

// Reader parses the values of settings and collects errors.
type Reader struct {
	values *viper.Viper
	errs   []error
}

// Err returns the errors of all values read so far, joined; each is a *ValueError.
func (r *Reader) Err() error { return errors.Join(r.errs...) }

// Reject records that the value of a setting is invalid.
func (r *Reader) Reject(name, allowed string) { r.addError(name, allowed) }

func (r *Reader) addError(name, allowed string) {
	r.errs = append(r.errs, &ValueError{Name: name, Value: r.values.GetString(name), Allowed: allowed})
}

// Text returns a value without parsing it.
func (r *Reader) Text(name string) string { return r.values.GetString(name) }

// Required returns a value that must not be empty.
func (r *Reader) Required(name string) string {
	s := r.Text(name)
	if s == "" {
		r.addError(name, "a text that is not empty")
	}
	return s
}

// OneOf returns a value that must be one of allowed.
func (r *Reader) OneOf(name string, allowed ...string) string {
	s := r.Text(name)
	if !slices.Contains(allowed, s) {
		r.addError(name, "one of "+strings.Join(allowed, ", "))
	}
	return s
}

// Duration returns a duration that must not be below minimum.
func (r *Reader) Duration(name string, minimum time.Duration) time.Duration {
	d, err := time.ParseDuration(r.Text(name))
	if err != nil || d < minimum {
		r.addError(name, "a duration of "+minimum.String()+" or more, such as 500ms or 2s")
	}
	return d
}

// Integer returns an integer that must be from minimum to maximum.
func (r *Reader) Integer(name string, minimum, maximum int) int {
	n, err := strconv.Atoi(r.Text(name))
	if err != nil || n < minimum || n > maximum {
		r.addError(name, fmt.Sprintf("an integer from %d to %d", minimum, maximum))
	}
	return n
}

// Number returns a number that must not be below minimum.
func (r *Reader) Number(name string, minimum float64) float64 {
	n, err := strconv.ParseFloat(r.Text(name), 64)
	if err != nil || n < minimum {
		r.addError(name, fmt.Sprintf("a number of %g or more", minimum))
	}
	return n
}

// Bool returns a value that must be true or false.
func (r *Reader) Bool(name string) bool {
	b, err := strconv.ParseBool(r.Text(name))
	if err != nil {
		r.addError(name, "true or false")
	}
	return b
}

const addressFormat = "an IP address and a port, such as 127.0.0.1:8100"

// Address returns an IP address with a port.
func (r *Reader) Address(name string) netip.AddrPort {
	a, err := netip.ParseAddrPort(r.Text(name))
	if err != nil {
		r.addError(name, addressFormat)
	}
	return a
}

// Addresses returns the addresses of a list separated by commas, which may be empty.
func (r *Reader) Addresses(name string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, s := range strings.Split(r.Text(name), ",") {
		if s == "" {
			continue
		}
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			r.addError(name, "a list, separated by commas, of "+addressFormat)
			return nil
		}
		list = append(list, a)
	}
	return list
}
