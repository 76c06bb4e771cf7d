package router

import (
	"crypto/sha256"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// customerIndex finds customers by name and by key.
type customerIndex struct {
	byName map[string]*schema.Customer
	// byKeyHash maps the SHA-256 hashes of keys to the customers that hold them.
	byKeyHash map[[sha256.Size]byte]*schema.Customer
	// limited reports whether any of them has a quota.
	limited bool
}

// WithCustomers returns a copy with the given customers, by name.
func (s *Snapshot) WithCustomers(customers map[string]*schema.Customer) *Snapshot {
	next := *s
	next.customers = customerIndex{byName: customers, byKeyHash: map[[sha256.Size]byte]*schema.Customer{}}
	for _, c := range customers {
		next.customers.limited = next.customers.limited || c.RatePerSecond > 0
		for _, hash := range c.KeyHashes {
			if len(hash) == sha256.Size {
				next.customers.byKeyHash[[sha256.Size]byte(hash)] = c
			}
		}
	}
	return &next
}

// HasCustomers reports whether the configuration has customers, so that callers need an API key.
func (s *Snapshot) HasCustomers() bool { return len(s.customers.byName) > 0 }

// HasQuotas reports whether any customer has a quota.
func (s *Snapshot) HasQuotas() bool { return s.customers.limited }

// Customer returns the customer with a name, or nil.
func (s *Snapshot) Customer(name string) *schema.Customer { return s.customers.byName[name] }

// CustomerOfKey returns the customer that holds an API key, or nil.
func (s *Snapshot) CustomerOfKey(key string) *schema.Customer {
	return s.customers.byKeyHash[sha256.Sum256([]byte(key))]
}

// CustomerRank returns the priority of a call; 0 is the highest. The customer's priority goes before that of the route's
// class. If there are customers, calls without one go before those of all customers: upstreams make them for calls that run
// already, and these hold a slot and a part of their deadline until such a call is answered.
func (s *Snapshot) CustomerRank(c *schema.Customer, class string) int {
	if !s.HasCustomers() || c == nil {
		return s.Rank(class)
	}
	return (1+int(c.Priority))*(len(s.ranks)+1) + s.Rank(class)
}
