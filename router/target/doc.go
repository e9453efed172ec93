// Package target sends requests to targets over pooled HTTP/1.1 connections. Its errors
// distinguish requests that were not sent from those that may have run.
package target
