//! The library of the command `sablerun-lab`: plays experiments with real dispatcher processes between
//! simulated clients, runners and discovery, computes their figures, draws charts and checks bounds. Uses
//! loopback addresses only.

pub mod census;
pub mod clients;
pub mod dispatcher_process;
pub mod experiment;
pub mod experiment_file;
pub mod play;
pub mod run_result;
pub mod scale;
