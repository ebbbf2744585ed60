// Package balancer chooses the endpoint of a request from what one gateway knows of loads, health and cold starts.
package balancer
