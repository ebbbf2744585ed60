// Package queuer holds waiting requests and hands them out by priority, then fairly among client accounts. Requests that can still be
// on time go before those that cannot.
package queuer
