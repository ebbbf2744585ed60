// Package spreader estimates the present load of endpoints from counts of which a part is old, and chooses among endpoints that are good
// enough so that gateways that choose at the same moment do not choose alike.
package spreader
