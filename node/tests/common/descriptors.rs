//! Counts the descriptors that processes have open.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval at which descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// Counts the open descriptors of processes together, over and over.
pub struct DescriptorSampler {
    processes: Arc<Mutex<Vec<u32>>>,
    stopped: Arc<AtomicBool>,
    sampler: JoinHandle<usize>,
}

impl DescriptorSampler {
    /// Starts with one process.
    pub fn start(process: u32) -> DescriptorSampler {
        let processes = Arc::new(Mutex::new(vec![process]));
        let stopped = Arc::new(AtomicBool::new(false));
        let (sampled, end) = (processes.clone(), stopped.clone());
        let sampler = std::thread::spawn(move || {
            let open =
                |process: &u32| std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
            let mut most = 0;
            while !end.load(Ordering::Relaxed) {
                most = sampled.lock().unwrap().iter().map(open).sum::<usize>().max(most);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            most
        });
        DescriptorSampler { processes, stopped, sampler }
    }

    /// Adds a process.
    pub fn add(&self, process: u32) {
        self.processes.lock().unwrap().push(process);
    }

    /// Returns the most descriptors that were open at once.
    pub fn stop(self) -> usize {
        self.stopped.store(true, Ordering::Relaxed);
        self.sampler.join().unwrap()
    }
}
