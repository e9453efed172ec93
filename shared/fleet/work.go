package fleet

import "time"

// Work is the size of a model request, as its caller states it. The zero value means that
// the size is unknown.
type Work struct {
	// Prompt is the number of prompt tokens, and MaxOutput the most output tokens.
	Prompt, MaxOutput int
	// Output is the expected number of output tokens; 0 if the caller gives no estimate.
	Output int
}

// Known reports whether the caller has stated the size.
func (w Work) Known() bool { return w.Prompt > 0 }

// ExpectedOutput returns the output tokens that the caller expects, or else the mean of an
// engine's requests, but at most MaxOutput.
func (w Work) ExpectedOutput(e *Engine) int {
	output := w.Output
	if output == 0 {
		output = int(e.MeanOutputTokens)
	}
	if w.MaxOutput > 0 {
		output = min(output, w.MaxOutput)
	}
	return output
}

// MaxTokens returns the most tokens that the request holds in an engine's memory.
func (w Work) MaxTokens(e *Engine) int {
	if !w.Known() {
		return int(e.MeanPromptTokens + e.MeanOutputTokens)
	}
	return w.Prompt + max(w.MaxOutput, w.ExpectedOutput(e))
}

// ReadTime returns the time that an engine takes to read a number of prompt tokens.
func (e *Engine) ReadTime(tokens int) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.PrefillRate * float64(time.Second))
}

// WriteTime returns the time that a number of output tokens of one request adds to an
// engine's steps, with a context of the mean size.
func (e *Engine) WriteTime(tokens int) time.Duration {
	context := (e.MeanPromptTokens + e.MeanOutputTokens/2) / 1000
	return time.Duration(float64(tokens) * (float64(e.StepPerSequence) + context*float64(e.StepPerContext)))
}

// MeanTime returns the time that a request of the mean size adds.
func (e *Engine) MeanTime() time.Duration {
	return e.ReadTime(int(e.MeanPromptTokens)) + e.WriteTime(int(e.MeanOutputTokens))
}
