// Package sloper measures how memory, message sizes and processor time grow with the size of a fleet, and extrapolates them
// to the target size with linear fits. It also measures the resource usage of gateway processes in fleets of several sizes.
package sloper
