//! The command `sablerun-lab` and its parts: experiments played on the stand-ins with real dispatcher
//! processes between them, their figures, charts and bounds. It owns the order of a run and what is made of
//! it; it must never stand in for anything itself, nor leave the loopback addresses.

pub mod census;
pub mod chart;
pub mod clients;
pub mod experiment;
pub mod file;
pub mod fleet;
pub mod play;
pub mod scale;
