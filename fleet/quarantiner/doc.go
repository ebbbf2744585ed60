// Package quarantiner finds requests that crash endpoints and bounds the damage each one does.
package quarantiner
