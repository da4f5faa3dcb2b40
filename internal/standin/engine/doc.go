// Package engine is the stand-in of a model engine: one server with several
// accelerators that loads models and adapters on fenced orders and generates
// text by continuous batching. The same model runs behind the HTTP stand-in and
// in the emulator.
//
// Memory is accounted as one pool per machine. A replica is sharded evenly over
// the accelerators it occupies, so what one accelerator holds follows from the
// sum; and outside.EngineState reports one figure per machine, so a finer
// account could not be checked against what the owner was told. The model never
// refuses an overcommit: it records it, for the checker to find.
//
// The text of an answer is a function of the request's body alone, see
// ExpectedChunk, so a checker knows the complete answer of every request.
package engine
