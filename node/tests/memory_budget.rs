//! The budget for the memory of messages: what is reserved, who is evicted, and when memory is released.

use sablerun_node::memory::{MemoryBudget, OutOfMemory, ReceiveBuffer};
use std::time::{Duration, Instant};

const PREPAID: usize = ReceiveBuffer::PREPAID_BYTES;

fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(future)
}

#[test]
fn a_message_is_counted_as_long_as_any_part_of_it_is_in_use() {
    let budget = MemoryBudget::new(100_000, Duration::ZERO);
    let mut buffer = ReceiveBuffer::new(&budget);
    buffer.try_extend(&[b'x'; 10], 50_000).unwrap();
    assert_eq!(budget.used_bytes(), 0);
    buffer.try_extend(&[b'x'; 40_000], 50_000).unwrap();
    assert!(budget.used_bytes() >= 40_010 - PREPAID);
    let part = buffer.into_bytes().slice(5..6);
    assert_eq!(budget.used_bytes(), 40_010);
    drop(part);
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn a_buffer_never_grows_over_its_limit_or_the_budget() {
    let budget = MemoryBudget::new(20_000, Duration::MAX);
    let mut first = ReceiveBuffer::new(&budget);
    assert_eq!(first.try_extend(&[0; 9], 8), Err(OutOfMemory));
    first.clear();
    first.try_extend(&[0; 16_000], 16_000).unwrap();
    let mut second = ReceiveBuffer::new(&budget);
    assert_eq!(second.try_extend(&[0; 16_000], 16_000), Err(OutOfMemory));
    assert!(budget.used_bytes() <= 20_000);
    // Small messages need no reservation.
    second.clear();
    second.try_extend(&[0; PREPAID], 16_000).unwrap();
}

#[test]
fn what_follows_a_line_stays_in_the_buffer() {
    let budget = MemoryBudget::new(100_000, Duration::ZERO);
    let mut buffer = ReceiveBuffer::new(&budget);
    let text = [vec![b'a'; 10_000], b"\nrest".to_vec()].concat();
    buffer.try_extend(&text, 50_000).unwrap();
    let line = buffer.split_to(10_001);
    assert_eq!((line.len(), buffer.as_slice()), (10_001, &b"rest"[..]));
    drop(line);
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn the_message_that_has_stalled_for_longest_is_evicted() {
    let budget = MemoryBudget::new(3_000, Duration::from_millis(20));
    let reserve = || {
        let mut reservation = budget.reservation();
        reservation.try_resize(1_000).unwrap();
        reservation
    };
    let (complete, stalled, active) = (reserve(), reserve(), reserve());
    complete.protect();
    let mut late = budget.reservation();
    // Nobody has stalled yet.
    assert_eq!(late.try_resize(1_000), Err(OutOfMemory));
    assert!(![&complete, &stalled, &active].iter().any(|reservation| reservation.is_evicted()));
    std::thread::sleep(Duration::from_millis(30));
    active.progressed();
    assert_eq!(late.try_resize(1_000), Err(OutOfMemory));
    assert_eq!(
        [&complete, &stalled, &active].map(|reservation| reservation.is_evicted()),
        [false, true, false]
    );
    drop(stalled);
    late.try_resize(1_000).unwrap();
    // A message that is complete before it could be given up stays.
    std::thread::sleep(Duration::from_millis(30));
    assert_eq!(budget.reservation().try_resize(1_000), Err(OutOfMemory));
    assert!(active.is_evicted());
    active.protect();
    assert!(!active.is_evicted());
}

#[test]
fn a_reservation_waits_for_memory_and_gives_up_in_time() {
    let budget = MemoryBudget::new(1_000, Duration::from_secs(3600));
    let mut first = budget.reservation();
    first.try_resize(1_000).unwrap();
    let mut second = budget.reservation();
    block_on(async {
        let began = Instant::now();
        assert_eq!(second.resize(500, Duration::from_millis(50)).await, Err(OutOfMemory));
        assert!(began.elapsed() >= Duration::from_millis(50));
        let release = async {
            tokio::task::yield_now().await;
            drop(first);
        };
        let (resized, ()) = tokio::join!(second.resize(500, Duration::from_secs(3600)), release);
        assert_eq!(resized, Ok(()));
    });
    assert_eq!(budget.used_bytes(), 500);
}

#[test]
fn a_result_is_counted_even_if_the_budget_is_exceeded() {
    let budget = MemoryBudget::new(1_000, Duration::ZERO);
    let result = budget.adopt(vec![0; 10_000]);
    assert_eq!(budget.used_bytes(), 10_000);
    assert_eq!(budget.try_adopt(vec![0; 10_000]), Err(OutOfMemory));
    assert_eq!(budget.reservation().try_resize(1), Err(OutOfMemory));
    drop(result);
    assert_eq!(budget.used_bytes(), 0);
}
