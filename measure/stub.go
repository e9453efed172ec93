package main

import "context"

func measureChoice() result                       { return result{} }
func measureOverload() result                     { return result{} }
func measureMove(context.Context) (result, error) { return result{}, nil }
