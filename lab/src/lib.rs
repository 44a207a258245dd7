//! The command `sablerun-lab` and its parts: experiments played on the stand-ins with real dispatcher
//! processes between them, their figures, charts and bounds. It owns the order of a run and what is made of
//! it; it must never stand in for anything itself, nor leave the loopback addresses.

pub mod census;
pub mod clients;
pub mod dispatcher_process;
pub mod experiment;
pub mod experiment_file;
pub mod play;
pub mod run_result;
pub mod scale;
