// Package target sends requests to targets over connections that are kept open, and
// tells what is certain about each: not sent, answered, or broken.
package target
