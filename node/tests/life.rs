//! A client's connection and the program's end as state machines, by random steps against plain models.

use proptest::prelude::*;
use sablerun_node::net::platform::lifecycle::{CloseMode, HeadTooLong, Lifecycle, Stage};
use sablerun_node::net::platform::shutdown::{Observation, Phase, Shutdown};
use std::time::Duration;

const MOST: usize = 200;

/// A request as it stands on the wire: blank lines before it, its head, its body.
fn request(blank: usize, header: usize, body: usize) -> (Vec<u8>, usize) {
    let head = format!("{}POST / HTTP/1.1\r\nX: {}\r\n\r\n", "\r\n".repeat(blank), "y".repeat(header));
    let head_bytes = head.len();
    (head.into_bytes().into_iter().chain(std::iter::repeat_n(b'\n', body)).collect(), head_bytes)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(25), ..ProptestConfig::default() })]

    /// Whatever comes in whatever pieces, exactly one request at a time is handed on, whole and in order;
    /// the connection may end only where nothing of a request was handed on without its answer being out;
    /// and after its last answer nothing is.
    #[test]
    fn a_connection_hands_on_one_request_at_a_time(
        requests in prop::collection::vec((0usize..3, 0usize..40, 0usize..60), 1..6),
        steps in prop::collection::vec((0u8..8, 1usize..50), 1..400),
    ) {
        let wire: Vec<_> = requests.iter().map(|&(blank, header, body)| request(blank, header, body)).collect();
        let bytes: Vec<u8> = wire.iter().flat_map(|(bytes, _)| bytes.clone()).collect();
        let mut life = Lifecycle::default();
        // The model: what has arrived, how much of it was handed on, requests answered, and the last one.
        let (mut arrived, mut passed, mut number) = (0, 0, 0);
        let (mut answering, mut asked, mut over) = (false, false, false);
        let ends: Vec<usize> = wire.iter().scan(0, |sum, (bytes, _)| { *sum += bytes.len(); Some(*sum) }).collect();
        for (what, size) in steps {
            let start = if number == 0 { 0 } else { ends[number - 1] };
            let (end, head) = wire.get(number).map_or((start, 0), |(_, head)| (ends[number], *head));
            match what {
                0..=2 => arrived = (arrived + size).min(bytes.len()),
                3..=4 => {
                    let before = life.stage();
                    let more = life.pass_to_parser(&bytes[passed..arrived], MOST).expect("no head is too long");
                    passed += more;
                    let limit = match before {
                        _ if over || answering => passed - more,
                        Stage::HeadRead => start + head,
                        Stage::New | Stage::ReadingHead | Stage::Idle => start + head,
                        _ => end,
                    };
                    prop_assert!(passed <= limit, "{before:?} hands on beyond {limit}: {passed}");
                    if !over && !answering && before != Stage::HeadRead && number < wire.len() {
                        prop_assert_eq!(passed, arrived.min(limit).max(passed - more), "all that may be");
                    }
                }
                5 if life.stage() == Stage::HeadRead => {
                    prop_assert_eq!(passed, start + head);
                    prop_assert!(life.request_started(Some(end - start - head)));
                    prop_assert!(!life.request_started(Some(0)), "one request at a time");
                }
                6 => match life.stage() {
                    Stage::AwaitingResponse => {
                        prop_assert_eq!(passed, end);
                        let close = size == 1;
                        prop_assert_eq!(life.response_started(close), close || asked);
                        (answering, over) = (true, over || close || asked);
                    }
                    Stage::WritingResponse => {
                        life.response_flushed();
                        (answering, number) = (false, number + 1);
                        prop_assert_eq!(life.stage(), if over { Stage::Closed } else { Stage::Idle });
                    }
                    _ => {}
                },
                7 if size < 5 => {
                    life.request_close(if size == 4 { CloseMode::Immediate } else { CloseMode::Graceful });
                    asked = true;
                }
                _ => {}
            }
            let start = if number == 0 { 0 } else { ends[number - 1] };
            let blank = requests.get(number).map_or(0, |(blank, ..)| blank * 2);
            if life.may_close() {
                prop_assert!(asked && !answering && passed <= start + blank, "ends over a request");
            }
            if passed > start + blank && !over {
                prop_assert!(life.is_active());
            }
        }
    }

    /// A head over the limit is never handed on whole, however it comes.
    #[test]
    fn a_head_has_its_limit(header in 0usize..400, piece in 1usize..100) {
        let (bytes, head) = request(0, header, 0);
        let (mut life, mut passed, mut long) = (Lifecycle::default(), 0, false);
        for piece in bytes.chunks(piece) {
            match life.pass_to_parser(piece, MOST) {
                Ok(more) => passed += more,
                Err(HeadTooLong) => { long = true; break }
            }
        }
        prop_assert_eq!(long, head > MOST);
        prop_assert!(passed <= MOST);
    }

    /// Everything as usual for the spell; closing only once nothing is under way and nobody was found at
    /// the last look, or the time is over; and the end within its time whatever happens.
    #[test]
    fn the_end_waits_for_all_and_keeps_its_time(
        spell in 0u64..3000, more in 0u64..1000,
        steps in prop::collection::vec((1u64..60, 0usize..3, 0usize..2, 0usize..3), 300),
    ) {
        let ms = Duration::from_millis;
        let (stop, flush) = (ms(spell + more), ms(100));
        let mut ending = Shutdown::new(ms(spell), stop, flush);
        let mut seen = Observation::default();
        for (pause, active, accepted, connections) in steps {
            // A look comes in time.
            let pause = ms(pause).min(ms(10));
            seen = Observation { elapsed: seen.elapsed.max(ending.next_check()) + pause, active, accepted, connections };
            let before = ending.phase();
            let after = ending.step(&seen);
            let late = seen.elapsed >= stop + flush;
            match (before, after) {
                (Phase::Serving, Phase::Draining) => prop_assert!(seen.elapsed >= ms(spell)),
                (Phase::Draining, Phase::FinalAccept) => prop_assert!(late || active == 0),
                (Phase::FinalAccept, Phase::Draining) => prop_assert!(accepted > 0),
                (Phase::FinalAccept, Phase::Closing) => prop_assert!(late || accepted == 0),
                (Phase::Closing, Phase::Done) => {}
                (before, after) => prop_assert_eq!(before, after),
            }
            // 0.2 s before the earliest SIGKILL, but for the pauses of the last steps.
            if seen.elapsed >= stop + flush * 2 + ms(40) {
                prop_assert_eq!(after, Phase::Done);
            }
        }
    }
}

/// An answer that its client does not take keeps its connection until there is no room, and no longer; one
/// that is merely asked to leave in the midst of it is not cut.
#[test]
fn only_who_takes_nothing_of_an_answer_is_cut() {
    let flushing = || {
        let mut life = Lifecycle::default();
        let (bytes, _) = request(0, 0, 0);
        assert_eq!(life.pass_to_parser(&bytes, MOST), Ok(bytes.len()));
        assert!(life.request_started(Some(0)));
        life
    };
    let mut early = flushing();
    early.request_close(CloseMode::Immediate);
    assert!(early.response_started(false) && !early.write_stalled());
    early.response_flushed();
    assert_eq!(early.stage(), Stage::Closed);
    let mut soon = flushing();
    soon.response_started(false);
    soon.request_close(CloseMode::Graceful);
    assert!(!soon.write_stalled());
    let mut stuck = flushing();
    stuck.response_started(false);
    stuck.request_close(CloseMode::Immediate);
    assert!(stuck.write_stalled());
}
