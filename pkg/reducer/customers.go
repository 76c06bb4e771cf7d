package reducer

import (
	"crypto/sha256"
	"math"
	"strings"
)

// validateCustomers checks that every customer has a name that fits into a header and limits in range, and that each key
// is held once.
func validateCustomers(s *State) error {
	holders := map[string]string{}
	for _, c := range sortedValues(s.Customers) {
		if !isHeaderValue(c.Name) {
			return invalid("customer %q needs a name without control characters or spaces around it", c.Name)
		}
		if !isLimit(c.RatePerSecond) || !isLimit(c.Burst) {
			return invalid("customer %q has the rate %v and burst %v, which must be finite and not negative", c.Name,
				c.RatePerSecond, c.Burst)
		}
		for _, hash := range c.KeyHashes {
			if len(hash) != sha256.Size {
				return invalid("customer %q has a key hash of %d bytes, expected %d", c.Name, len(hash), sha256.Size)
			}
			if holder, ok := holders[string(hash)]; ok {
				return invalid("customers %q and %q hold the same key", holder, c.Name)
			}
			holders[string(hash)] = c.Name
		}
	}
	return nil
}

// isHeaderValue reports whether a text is not empty and arrives unchanged as the value of an HTTP header.
func isHeaderValue(text string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return text != "" && text == strings.TrimSpace(text) && !strings.ContainsFunc(text, isControl)
}

// isLimit reports whether a value is finite and not negative.
func isLimit(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }
