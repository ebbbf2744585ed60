// Package prioritizer decides the priority of each request at model engines. It answers the load of a service that gets more requests
// than its engines serve in time: urgent requests come first, a tenth of the less urgent ones keeps the engines from starving any kind,
// and what a client account sends beyond its share of the tokens comes last.
package prioritizer
