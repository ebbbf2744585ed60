// Package configurator validates, encodes and applies numbered versions of the fleet's configuration.
//
// A configuration is a model.Document. The configuration service stores each version as a manifest, which names the
// parts of the document by content hash, and the parts as values. A process fetches the parts that it needs and an
// Acceptor puts a version in force only if it is valid, complete and higher than the current one.
package configurator
