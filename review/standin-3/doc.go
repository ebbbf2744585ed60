// Package standin3 plays the cases of the third review. It starts gateways as separate processes, with the command of the deploy file,
// in front of stand-ins of its own for the platform's store, the runners and the clients. All addresses are loopback addresses.
//
// It is built as a test binary. Usage: review-3 CASE ROUTER RECORD, where ROUTER is the built router and RECORD the file that gets the record. The exit status is 0 if
// the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package standin3
