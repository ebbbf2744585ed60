// Package exposer serves metrics, health and the fleet view on the operators' port.
package exposer
