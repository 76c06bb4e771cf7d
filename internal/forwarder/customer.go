package forwarder

import (
	"net/http"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// reasonUnknownKey is the refusal of a call whose API key is missing, or held by no customer.
const reasonUnknownKey = "unknown-key"

// authenticate sets the customer of a call that enters the mesh here, from its API key. It refuses the call, and reports
// false, if the route needs a key and the call has none that a customer holds, or several.
func (x *exchange) authenticate() bool {
	d := x.forwarder.config.Dialect
	if d.Key == "" || x.route.AuthExempt || !x.snapshot.HasCustomers() {
		return true
	}
	if x.keyState() == keyStated {
		x.customer = x.snapshot.CustomerOfKey(x.request.message.get(d.Key))
	}
	if x.customer == nil {
		x.refuse(http.StatusUnauthorized, reasonUnknownKey, runNo)
		return false
	}
	return true
}

// Values of keyState.
const (
	keyMissing  = "missing"
	keyRepeated = "repeated"
	keyStated   = "stated"
)

// keyState returns how often the call states an API key: a call has to state it once.
func (x *exchange) keyState() string {
	switch x.request.message.count(x.forwarder.config.Dialect.Key) {
	case 0:
		return keyMissing
	case 1:
		return keyStated
	}
	return keyRepeated
}

// logUnknownKey logs the refusal of a call without a valid API key. The key is not part of the line: it may be one that
// another deployment still accepts.
func (x *exchange) logUnknownKey() {
	x.logCall(x.forwarder.callLog.unknownKeys, "call not authenticated", "route", x.route.GetName(), "key", x.keyState())
}

// customerName returns the name of the call's customer, or an empty string if it has none.
func (x *exchange) customerName() string { return x.customer.GetName() }

// adoptCustomer sets the customer that the sending node names. A customer that this node's configuration does not have,
// or no longer has, is taken over by name.
func (x *exchange) adoptCustomer() {
	d := x.forwarder.config.Dialect
	if d.Customer == "" {
		return
	}
	name := x.request.message.get(d.Customer)
	if name == "" {
		return
	}
	x.customer = x.snapshot.Customer(name)
	if x.customer == nil {
		x.customer = &schema.Customer{Name: name}
	}
}

// droppedHeaders returns the headers of the caller that are not forwarded.
func (x *exchange) droppedHeaders() []string {
	d := x.forwarder.config.Dialect
	dropped := d.reservedHeaders()
	if d.Key != "" && x.snapshot.HasCustomers() {
		dropped = append(dropped, d.Key)
	}
	return dropped
}
