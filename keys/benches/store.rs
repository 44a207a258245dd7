//! Measures the time of a key's life cycle and its memory use at 1e3, 1e5 and 1e6 keys. Prints the ratio of
//! the times to that of the smallest size (limit: 2), and the bytes per key next to the store's own count.
//!
//! A life cycle is: a look-up that finds nothing, the insertion, a repeat that joins, the resolution, a
//! repeat that gets the stored result, and the removal of one expired key.

use criterion::Criterion;
use sablerun::{Span, Time};
use sablerun_keys::{
    Admission, Bounds, Fingerprint, KeyedRequest, Member, Resolution, Retention, RunId, Store,
};
use sha2::{Digest, Sha256};
use std::hint::black_box;
use std::time::{Duration, Instant};

#[global_allocator]
static HEAP: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

const RESULT: usize = 100;

fn key(number: u64) -> [u8; 32] {
    // 32 evenly distributed hexadecimal digits, as clients send them.
    let spread = u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    let text = format!("{spread:032x}");
    text.as_bytes().try_into().expect("32 digits")
}

fn request(key: &[u8]) -> KeyedRequest<'_> {
    KeyedRequest { member: Member(1), class: 0, key, fingerprint: Fingerprint([3; 16]), retry: false }
}

/// Returns a store with `size` served keys, resolved at consecutive times, the oldest about to expire.
fn filled(size: u64) -> (Store, u64) {
    let bounds = Bounds {
        max_entries: size as usize * 2,
        max_bytes: usize::MAX,
        max_result_bytes: 4096,
        max_key_bytes: 64,
        max_entries_per_member: usize::MAX,
        hold_off: Span(1),
    };
    let mut store = Store::new(bounds, vec![Retention { window: Span(size), uncertain_ttl: Span(size) }]);
    for number in 0..size {
        life_cycle(&mut store, number);
    }
    (store, size)
}

fn life_cycle(store: &mut Store, number: u64) {
    let key = key(number);
    let now = Time(number);
    assert_eq!(store.admit(now, &request(&key), RunId(number)), Admission::New);
    assert_eq!(store.admit(now, &request(&key), RunId(number)), Admission::Join(RunId(number)));
    store.resolve(now, Member(1), 0, &key, Resolution::Served(vec![7; RESULT].into()));
    assert!(matches!(store.admit(now, &request(&key), RunId(number)), Admission::Replay(_)));
}

fn main() {
    let mut criterion = Criterion::default()
        .configure_from_args()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(2));
    let mut rows = Vec::new();
    for size in [1_000u64, 100_000, 1_000_000] {
        let before = HEAP.allocated();
        let (mut store, mut next) = filled(size);
        let (allocated, counted) = (HEAP.allocated() - before, store.bytes());
        criterion.bench_function(&format!("life of a key at {size}"), |b| {
            b.iter(|| {
                life_cycle(black_box(&mut store), next);
                next += 1;
            });
        });
        // The minimum of several rounds: other load on the machine only adds time.
        let round = |store: &mut Store, next: &mut u64| {
            let begun = Instant::now();
            for _ in 0..20_000 {
                life_cycle(store, *next);
                *next += 1;
            }
            begun.elapsed().as_nanos() as f64 / 20_000.0
        };
        let min_ns = (0..9).map(|_| round(&mut store, &mut next)).fold(f64::INFINITY, f64::min);
        rows.push((size, min_ns, allocated as f64 / size as f64, counted as f64 / size as f64));
    }
    // The cost that a new key adds to a request: fingerprint, insertion and resolution.
    let (mut store, mut next) = filled(100_000);
    let job = vec![b'x'; 212];
    let added = |store: &mut Store, next: &mut u64| {
        let begun = Instant::now();
        for _ in 0..20_000 {
            let digest =
                Sha256::new().chain_update("/api?sid=7f3a9c21e0b4d655").chain_update(&job).finalize();
            let fingerprint = Fingerprint(std::array::from_fn(|n| digest[n]));
            let (key, now) = (key(*next), Time(*next));
            black_box(store.admit(now, &KeyedRequest { fingerprint, ..request(&key) }, RunId(*next)));
            store.resolve(now, Member(1), 0, &key, Resolution::Served(vec![7; RESULT].into()));
            *next += 1;
        }
        begun.elapsed().as_nanos() as f64 / 20_000.0
    };
    let min_ns = (0..9).map(|_| added(&mut store, &mut next)).fold(f64::INFINITY, f64::min);
    println!("\nadded to a request with a new key, 212 bytes, 100000 keys held: {min_ns:.0} ns (<= 2000)\n");
    let base = rows[0].1;
    println!(
        "{:>9}  {:>9}  {:>12}  {:>10}  {:>11}",
        "keys", "ns a life", "ratio (<= 2)", "bytes held", "as counted"
    );
    for (size, ns, allocated, counted) in rows {
        println!("{size:>9}  {ns:>9.0}  {:>12.2}  {allocated:>10.0}  {counted:>11.0}", ns / base);
    }
}
