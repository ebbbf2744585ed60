// Package connector pools HTTP/1.1 connections to endpoints and sends one request at a time over each of them.
package connector
