//! A client's connection and the program's end as state machines, by random steps against plain models.

use proptest::prelude::*;
use sablerun_node::net::platform::ending::{Ending, Phase, Seen};
use sablerun_node::net::platform::life::{Leave, Life, Stage, TooLong};
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
        let mut life = Life::default();
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
                    let more = life.pass(&bytes[passed..arrived], MOST).expect("no head is too long");
                    passed += more;
                    let limit = match before {
                        _ if over || answering => passed - more,
                        Stage::Given => start + head,
                        Stage::Fresh | Stage::Head | Stage::Resting => start + head,
                        _ => end,
                    };
                    prop_assert!(passed <= limit, "{before:?} hands on beyond {limit}: {passed}");
                    if !over && !answering && before != Stage::Given && number < wire.len() {
                        prop_assert_eq!(passed, arrived.min(limit).max(passed - more), "all that may be");
                    }
                }
                5 if life.stage() == Stage::Given => {
                    prop_assert_eq!(passed, start + head);
                    prop_assert!(life.begun(Some(end - start - head)));
                    prop_assert!(!life.begun(Some(0)), "one request at a time");
                }
                6 => match life.stage() {
                    Stage::Busy => {
                        prop_assert_eq!(passed, end);
                        let close = size == 1;
                        prop_assert_eq!(life.answered(close), close || asked);
                        (answering, over) = (true, over || close || asked);
                    }
                    Stage::Flushing => {
                        life.flushed();
                        (answering, number) = (false, number + 1);
                        prop_assert_eq!(life.stage(), if over { Stage::Shut } else { Stage::Resting });
                    }
                    _ => {}
                },
                7 if size < 5 => {
                    life.ask(if size == 4 { Leave::Now } else { Leave::Soon });
                    asked = true;
                }
                _ => {}
            }
            let start = if number == 0 { 0 } else { ends[number - 1] };
            let blank = requests.get(number).map_or(0, |(blank, ..)| blank * 2);
            if life.may_end() {
                prop_assert!(asked && !answering && passed <= start + blank, "ends over a request");
            }
            if passed > start + blank && !over {
                prop_assert!(life.under_way());
            }
        }
    }

    /// A head over the limit is never handed on whole, however it comes.
    #[test]
    fn a_head_has_its_limit(header in 0usize..400, piece in 1usize..100) {
        let (bytes, head) = request(0, header, 0);
        let (mut life, mut passed, mut long) = (Life::default(), 0, false);
        for piece in bytes.chunks(piece) {
            match life.pass(piece, MOST) {
                Ok(more) => passed += more,
                Err(TooLong) => { long = true; break }
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
        let mut ending = Ending::new(ms(spell), stop, flush);
        let mut seen = Seen::default();
        for (pause, under_way, queued, connections) in steps {
            // A look comes in time.
            let pause = ms(pause).min(ms(10));
            seen = Seen { since: seen.since.max(ending.next_look()) + pause, under_way, queued, connections };
            let before = ending.phase();
            let after = ending.step(&seen);
            let late = seen.since >= stop + flush;
            match (before, after) {
                (Phase::AsUsual, Phase::LettingGo) => prop_assert!(seen.since >= ms(spell)),
                (Phase::LettingGo, Phase::LastLook) => prop_assert!(late || under_way == 0),
                (Phase::LastLook, Phase::LettingGo) => prop_assert!(queued > 0),
                (Phase::LastLook, Phase::Closing) => prop_assert!(late || queued == 0),
                (Phase::Closing, Phase::Over) => {}
                (before, after) => prop_assert_eq!(before, after),
            }
            // 0.2 s before the earliest SIGKILL, but for the pauses of the last steps.
            if seen.since >= stop + flush * 2 + ms(40) {
                prop_assert_eq!(after, Phase::Over);
            }
        }
    }
}

/// An answer that its client does not take keeps its connection until there is no room, and no longer; one
/// that is merely asked to leave in the midst of it is not cut.
#[test]
fn only_who_takes_nothing_of_an_answer_is_cut() {
    let flushing = || {
        let mut life = Life::default();
        let (bytes, _) = request(0, 0, 0);
        assert_eq!(life.pass(&bytes, MOST), Ok(bytes.len()));
        assert!(life.begun(Some(0)));
        life
    };
    let mut early = flushing();
    early.ask(Leave::Now);
    assert!(early.answered(false) && !early.stuck());
    early.flushed();
    assert_eq!(early.stage(), Stage::Shut);
    let mut soon = flushing();
    soon.answered(false);
    soon.ask(Leave::Soon);
    assert!(!soon.stuck());
    let mut stuck = flushing();
    stuck.answered(false);
    stuck.ask(Leave::Now);
    assert!(stuck.stuck());
}
