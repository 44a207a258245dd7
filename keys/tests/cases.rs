//! Edge cases of the store and its snapshot.

use sablerun::{Span, Time};
use sablerun_keys::{
    Admission, Bounds, FORMAT, Fingerprint, KeyedRequest, Member, Names, Place, Resolution, Retention, RunId,
    SentAttempts, Snapshot, SnapshotError, Store,
};

const WINDOW: u64 = 10_000;

fn store(entries: usize, member: usize) -> Store {
    let bounds = Bounds {
        max_entries: entries,
        max_bytes: 1 << 30,
        max_result_bytes: 1 << 16,
        max_key_bytes: 1 << 16,
        max_entries_per_member: member,
        hold_off: Span(250),
    };
    Store::new(bounds, vec![Retention { window: Span(WINDOW), uncertain_ttl: Span(3 * WINDOW) }])
}

fn keyed(member: u32, key: &[u8]) -> KeyedRequest<'_> {
    KeyedRequest { member: Member(member), class: 0, key, fingerprint: Fingerprint([1; 16]), retry: false }
}

fn place(zone: u32) -> Option<Place> {
    Some(Place { zone, cell: 0 })
}

#[test]
fn a_burst_of_ten_times_the_capacity_loses_no_key_inside_its_window() {
    let mut store = store(100, 100);
    let (mut started, mut refused) = (Vec::new(), 0);
    for n in 0..1000u32 {
        let key = n.to_le_bytes();
        match store.admit(Time(n.into()), &keyed(0, &key), RunId(n.into())) {
            Admission::New => started.push(key),
            Admission::Full(wait) => {
                assert!(wait.0 > 0);
                refused += 1;
            }
            other => panic!("{other:?}"),
        }
        if n % 3 == 0 {
            let key = started[started.len() - 1];
            store.resolve(Time(n.into()), Member(0), 0, &key, Resolution::Served("r".into()));
        }
    }
    assert_eq!((started.len(), refused), (100, 900));
    assert_eq!(store.counts().member_full + store.counts().full, 900);
    for key in &started {
        let again = store.admit(Time(1000), &keyed(0, key), RunId(9999));
        assert!(matches!(again, Admission::Join(_) | Admission::Replay(_)), "{again:?}");
    }
    // After the window the oldest keys are evicted and new keys are accepted.
    assert_eq!(store.admit(Time(WINDOW + 1000), &keyed(0, b"new"), RunId(1)), Admission::New);
}

#[test]
fn a_full_store_returns_the_time_until_its_oldest_key_may_be_evicted() {
    let mut store = store(1, 1);
    assert_eq!(store.admit(Time(0), &keyed(0, b"a"), RunId(1)), Admission::New);
    // No key is resolved, so the time is unknown: the default delay.
    assert_eq!(store.admit(Time(5), &keyed(0, b"b"), RunId(2)), Admission::Full(Span(250)));
    store.resolve(Time(10), Member(0), 0, b"a", Resolution::Served("r".into()));
    assert_eq!(store.admit(Time(20), &keyed(0, b"b"), RunId(2)), Admission::Full(Span(WINDOW - 10)));
    assert_eq!(store.admit(Time(WINDOW + 10), &keyed(0, b"b"), RunId(2)), Admission::New);
}

#[test]
fn a_member_at_its_limit_leaves_room_for_other_members() {
    let mut store = store(100, 60);
    let flood = (0..1000u32)
        .filter(|n| store.admit(Time(0), &keyed(7, &n.to_le_bytes()), RunId((*n).into())) == Admission::New);
    assert_eq!(flood.count(), 60);
    assert_eq!(store.counts().member_full, 940);
    let other = (0..40u32)
        .filter(|n| store.admit(Time(0), &keyed(8, &n.to_le_bytes()), RunId((*n).into())) == Admission::New);
    assert_eq!(other.count(), 40, "keys of different members are independent");
}

#[test]
fn a_request_that_may_have_run_is_resent_to_the_same_place_and_only_within_the_window() {
    let mut store = store(10, 10);
    store.admit(Time(0), &keyed(0, b"k"), RunId(1));
    store.resolve(
        Time(500),
        Member(0),
        0,
        b"k",
        Resolution::MayHaveRun(SentAttempts::single(place(2), Time(100))),
    );
    let Admission::Resend(sent) = store.admit(Time(600), &keyed(0, b"k"), RunId(2)) else { panic!() };
    assert_eq!((sent.place, sent.first_at, sent.count), (place(2), Time(100), 1));
    // The second attempt never ran, but the first may have: the place still applies.
    store.resolve(Time(700), Member(0), 0, b"k", Resolution::NeverRan);
    assert!(matches!(store.admit(Time(800), &keyed(0, b"k"), RunId(3)), Admission::Resend(_)));
    store.resolve(
        Time(900),
        Member(0),
        0,
        b"k",
        Resolution::MayHaveRun(SentAttempts::single(place(2), Time(850))),
    );
    // The window starts with the first attempt and ends while the key is still stored.
    let end = 100 + WINDOW;
    assert!(matches!(store.admit(Time(end - 1), &keyed(0, b"k"), RunId(4)),
            Admission::Resend(s) if s.count == 2));
    store.resolve(Time(end - 1), Member(0), 0, b"k", Resolution::NeverRan);
    assert_eq!(store.admit(Time(end), &keyed(0, b"k"), RunId(5)), Admission::NotRepeatable);
    assert_eq!(store.admit(Time(end - 1 + 3 * WINDOW), &keyed(0, b"k"), RunId(6)), Admission::New);
}

#[test]
fn attempts_at_two_places_leave_no_place_for_a_repeat() {
    let both = SentAttempts::single(place(1), Time(5)).merge(SentAttempts::single(place(2), Time(6)));
    assert_eq!((both.place, both.first_at, both.last_at, both.count), (None, Time(5), Time(6), 2));
    let mut store = store(10, 10);
    store.admit(Time(0), &keyed(0, b"k"), RunId(1));
    store.resolve(Time(7), Member(0), 0, b"k", Resolution::MayHaveRun(both));
    assert_eq!(store.admit(Time(8), &keyed(0, b"k"), RunId(2)), Admission::NotRepeatable);
}

#[test]
fn the_key_of_a_result_that_is_too_large_is_kept_without_the_result() {
    let mut store = store(10, 10);
    store.admit(Time(0), &keyed(0, b"k"), RunId(1));
    store.resolve(Time(1), Member(0), 0, b"k", Resolution::Served(vec![0; (1 << 16) + 1].into()));
    assert_eq!(store.admit(Time(2), &keyed(0, b"k"), RunId(2)), Admission::ResultNotStored);
    assert_eq!(store.counts().results_dropped, 1);
}

#[test]
fn keys_of_any_length_and_bytes_are_distinguished() {
    let mut store = store(10, 10);
    let long = vec![b'x'; 1 << 16];
    let keys: [&[u8]; 5] = [b"\0", b"\0\0", &[0xff, 0xfe, b'\r', b'\n'], "\u{1f9fa}".as_bytes(), &long];
    for (n, key) in keys.iter().enumerate() {
        assert_eq!(store.admit(Time(0), &keyed(0, key), RunId(n as u64)), Admission::New);
    }
    for (n, key) in keys.iter().enumerate() {
        assert_eq!(store.admit(Time(0), &keyed(0, key), RunId(99)), Admission::Join(RunId(n as u64)));
    }
    assert_eq!(store.admit(Time(0), &keyed(0, b""), RunId(9)), Admission::InvalidKey);
    assert_eq!(store.admit(Time(0), &keyed(0, &vec![0; (1 << 16) + 1]), RunId(9)), Admission::InvalidKey);
}

/// A store with four keys: served, may have run, and in progress with and without a sent attempt.
fn filled() -> Store {
    let mut store = store(10, 10);
    for (n, key) in [&b"served"[..], b"unsure", b"out", b"held"].into_iter().enumerate() {
        assert_eq!(store.admit(Time(100), &keyed(0, key), RunId(n as u64)), Admission::New);
    }
    store.resolve(Time(200), Member(0), 0, b"served", Resolution::Served("result".into()));
    store.resolve(
        Time(300),
        Member(0),
        0,
        b"unsure",
        Resolution::MayHaveRun(SentAttempts::single(place(1), Time(150))),
    );
    store
}

fn snapshot() -> Snapshot {
    let sent = |run| (run == RunId(2)).then(|| SentAttempts::single(place(0), Time(350)));
    let names = Names {
        members: vec!["mehran".into()],
        classes: vec!["wave".into()],
        zones: vec!["a".into(), "b".into(), "c".into()],
    };
    Snapshot { taken_at: Time(400), clean_shutdown: false, names, records: filled().records(Time(400), sent) }
}

#[test]
fn a_restored_snapshot_keeps_keys_and_their_ages() {
    let read = Snapshot::decode(&snapshot().encode()).unwrap();
    assert_eq!(read, snapshot());
    // The next process numbers its zones differently.
    let zone = |name: &str| Some(u32::from(name.as_bytes()[0] - b'a') + 5);
    let records = read.renumbered(|_| Some(0), |_| Some(0), zone);
    let mut store = store(10, 10);
    assert_eq!(store.restore(Time(500), records.clone()), 4);
    assert_eq!(store.admit(Time(600), &keyed(0, b"served"), RunId(1)), Admission::Replay("result".into()));
    let Admission::Resend(sent) = store.admit(Time(600), &keyed(0, b"unsure"), RunId(2)) else { panic!() };
    assert_eq!(sent.place, place(6));
    let Admission::Resend(sent) = store.admit(Time(600), &keyed(0, b"out"), RunId(3)) else { panic!() };
    assert_eq!(sent.place, place(5));
    assert_eq!(
        store.admit(Time(600), &keyed(0, b"held"), RunId(4)),
        Admission::NotRepeatable,
        "may have been sent to any place"
    );
    // Windows continue; they do not start again with the restart.
    let mut late = self::store(10, 10);
    late.restore(Time(200 + WINDOW), records.clone());
    assert_eq!(late.admit(Time(200 + WINDOW), &keyed(0, b"served"), RunId(1)), Admission::New);
    assert_eq!(late.admit(Time(200 + WINDOW), &keyed(0, b"unsure"), RunId(1)), Admission::NotRepeatable);
    // A clock that was set back must not extend the lifetime of keys.
    let mut back = self::store(10, 10);
    back.restore(Time(50), records);
    assert_eq!(back.admit(Time(50 + WINDOW), &keyed(0, b"served"), RunId(1)), Admission::New);
}

#[test]
fn a_restore_that_does_not_fit_loads_the_newest_keys() {
    let mut small = store(2, 10);
    assert_eq!(small.restore(Time(500), snapshot().records), 2);
    assert_eq!(
        small.admit(Time(500), &keyed(0, b"out"), RunId(1)),
        Admission::Resend(SentAttempts::single(place(0), Time(350)))
    );
    assert_eq!(small.admit(Time(500), &keyed(0, b"served"), RunId(2)), Admission::Full(Span(WINDOW - 100)));
}

#[test]
fn a_damaged_snapshot_is_never_decoded() {
    let good = snapshot().encode();
    for length in 0..good.len() {
        let cut = Snapshot::decode(&good[..length]);
        assert!(matches!(cut, Err(SnapshotError::NotASnapshot | SnapshotError::Length(..))), "{length}");
    }
    for bit in 0..good.len() * 8 {
        let mut bad = good.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(Snapshot::decode(&bad).is_err(), "decoded although bit {bit} was flipped");
    }
    let mut newer = good.clone();
    newer[6] = (FORMAT + 1) as u8;
    let error = Snapshot::decode(&newer).unwrap_err();
    assert_eq!(error, SnapshotError::Version(FORMAT + 1));
    assert_eq!(error.to_string(), "a snapshot of format 2; this program reads format 1 alone");
    let longer = [&good[..], b"x"].concat();
    assert!(matches!(Snapshot::decode(&longer), Err(SnapshotError::Length(..))));
}

/// Without a snapshot a process does not know where a previous process sent the first attempt, so at
/// first a marked retry of an unknown key must fail.
#[test]
fn a_marked_retry_of_an_unknown_key_fails_soon_after_the_start() {
    let mut store = store(10, 10);
    store.reject_unknown_retries_until(0, Time(WINDOW));
    let retry = |key| KeyedRequest { retry: true, ..keyed(0, key) };
    assert_eq!(store.admit(Time(1), &retry(b"k"), RunId(1)), Admission::UnknownRetry);
    assert_eq!(store.admit(Time(1), &keyed(0, b"l"), RunId(1)), Admission::New);
    assert_eq!(store.admit(Time(2), &retry(b"l"), RunId(2)), Admission::Join(RunId(1)));
    assert_eq!(store.admit(Time(WINDOW), &retry(b"k"), RunId(3)), Admission::New);
}
