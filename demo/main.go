// Command chervil-demo runs a whole deployment in one process and shows it at work.
package main

import "os"

func main() { os.Exit(run(os.Args[1:], os.Stdout)) }
