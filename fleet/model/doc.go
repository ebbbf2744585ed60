// Package model defines the data types shared by all modules: typed IDs, the fleet configuration, the metadata of a
// request, and the refusals returned for requests that were not served. It contains no I/O and no routing logic.
package model
