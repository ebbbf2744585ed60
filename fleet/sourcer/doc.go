// Package sourcer decides from whom a gateway learns the changes of the store: from the store itself, or from another gateway of its
// failure domain that reads the store.
//
// Load that it answers: every call to the store is billed and counts against a rate that all gateways share. If each gateway watches the
// store, calls grow as gateways times changes. A few readers of a domain watch it in place of all, and the others follow them. What a
// follower learns bears the time at which the store said so. A follower that is not told in time looks at the store itself.
package sourcer
