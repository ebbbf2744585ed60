// Package admitter is the admission control of one endpoint. It limits the number of running requests, queues requests
// fairly among client accounts, and refuses those that would miss their deadlines.
package admitter
