//! The state machines of a client connection and of the program's shutdown, run with random steps against
//! simple models.

use proptest::prelude::*;
use sablerun_node::net::platform::chunk_scanner::ChunkScanner;
use sablerun_node::net::platform::lifecycle::{BodyRest, CloseMode, HeadTooLong, Lifecycle, Stage};
use sablerun_node::net::platform::shutdown::{Observation, Phase, Shutdown};
use std::time::Duration;

const MAX_HEAD_BYTES: usize = 200;

/// Returns a request as bytes (blank lines before it, its head and its body) and the length of its head with
/// the blank lines.
fn request(blank: usize, header: usize, body: usize) -> (Vec<u8>, usize) {
    let head = format!("{}POST / HTTP/1.1\r\nX: {}\r\n\r\n", "\r\n".repeat(blank), "y".repeat(header));
    let head_bytes = head.len();
    (head.into_bytes().into_iter().chain(std::iter::repeat_n(b'\n', body)).collect(), head_bytes)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(25), ..ProptestConfig::default() })]

    /// Whatever arrives in whatever pieces, exactly one request at a time is passed on, whole and in order.
    /// The connection may close only if no part of a request was passed on without its answer being sent, and
    /// nothing is passed on after the last answer.
    #[test]
    fn a_connection_passes_on_one_request_at_a_time(
        requests in prop::collection::vec((0usize..3, 0usize..40, 0usize..60), 1..6),
        steps in prop::collection::vec((0u8..8, 1usize..50), 1..400),
    ) {
        let wire: Vec<_> = requests.iter().map(|&(blank, header, body)| request(blank, header, body)).collect();
        let bytes: Vec<u8> = wire.iter().flat_map(|(bytes, _)| bytes.clone()).collect();
        let mut lifecycle = Lifecycle::default();
        // The model: the bytes that arrived and were passed on, the number of requests answered, whether an
        // answer is being written, whether a close was requested, and whether the last answer has begun.
        let (mut arrived, mut forwarded, mut answered) = (0, 0, 0);
        let (mut answering, mut close_requested, mut last_answer) = (false, false, false);
        let ends: Vec<usize> = wire.iter().scan(0, |sum, (bytes, _)| { *sum += bytes.len(); Some(*sum) }).collect();
        for (action, size) in steps {
            let start = if answered == 0 { 0 } else { ends[answered - 1] };
            let (end, head) = wire.get(answered).map_or((start, 0), |(_, head)| (ends[answered], *head));
            match action {
                0..=2 => arrived = (arrived + size).min(bytes.len()),
                3..=4 => {
                    let before = lifecycle.stage();
                    let more = lifecycle.pass_to_parser(&bytes[forwarded..arrived], MAX_HEAD_BYTES).expect("no head is too long");
                    forwarded += more;
                    let limit = match before {
                        _ if last_answer || answering => forwarded - more,
                        Stage::HeadRead => start + head,
                        Stage::New | Stage::ReadingHead | Stage::Idle => start + head,
                        _ => end,
                    };
                    prop_assert!(forwarded <= limit, "{before:?} passes on beyond {limit}: {forwarded}");
                    if !last_answer && !answering && before != Stage::HeadRead && answered < wire.len() {
                        prop_assert_eq!(forwarded, arrived.min(limit).max(forwarded - more), "all permitted bytes are passed on");
                    }
                }
                5 if lifecycle.stage() == Stage::HeadRead => {
                    prop_assert_eq!(forwarded, start + head);
                    prop_assert!(lifecycle.request_started(BodyRest::Sized(end - start - head)));
                    prop_assert!(!lifecycle.request_started(BodyRest::Sized(0)), "one request at a time");
                }
                6 => match lifecycle.stage() {
                    Stage::AwaitingResponse => {
                        prop_assert_eq!(forwarded, end);
                        let close = size == 1;
                        prop_assert_eq!(lifecycle.response_started(close), close || close_requested);
                        (answering, last_answer) = (true, last_answer || close || close_requested);
                    }
                    Stage::WritingResponse => {
                        lifecycle.response_flushed();
                        (answering, answered) = (false, answered + 1);
                        prop_assert_eq!(lifecycle.stage(), if last_answer { Stage::Closed } else { Stage::Idle });
                    }
                    _ => {}
                },
                7 if size < 5 => {
                    lifecycle.request_close(if size == 4 { CloseMode::Immediate } else { CloseMode::Graceful });
                    close_requested = true;
                }
                _ => {}
            }
            let start = if answered == 0 { 0 } else { ends[answered - 1] };
            let blank = requests.get(answered).map_or(0, |(blank, ..)| blank * 2);
            if lifecycle.may_close() {
                prop_assert!(close_requested && !answering && forwarded <= start + blank, "closes with a request in progress");
            }
            if forwarded > start + blank && !last_answer {
                prop_assert!(lifecycle.is_active());
            }
        }
    }

    /// A head over the limit is never passed on whole, in whatever pieces it arrives.
    #[test]
    fn a_head_over_the_limit_is_refused(header in 0usize..400, piece in 1usize..100) {
        let (bytes, head) = request(0, header, 0);
        let (mut lifecycle, mut forwarded, mut long) = (Lifecycle::default(), 0, false);
        for piece in bytes.chunks(piece) {
            match lifecycle.pass_to_parser(piece, MAX_HEAD_BYTES) {
                Ok(more) => forwarded += more,
                Err(HeadTooLong) => { long = true; break }
            }
        }
        prop_assert_eq!(long, head > MAX_HEAD_BYTES);
        prop_assert!(forwarded <= MAX_HEAD_BYTES);
    }

    /// The program serves normally for `serve_ms`. It closes only once nothing is in progress and no
    /// connection came in the final accept, or when the time is up. It ends in time whatever happens.
    #[test]
    fn shutdown_waits_for_all_requests_and_keeps_its_time_limit(
        serve_ms in 0u64..3000, drain_ms in 0u64..1000,
        steps in prop::collection::vec((1u64..60, 0usize..3, 0usize..2, 0usize..3), 300),
    ) {
        let ms = Duration::from_millis;
        let (stop, flush) = (ms(serve_ms + drain_ms), ms(100));
        let mut shutdown = Shutdown::new(ms(serve_ms), stop, flush);
        let mut observation = Observation::default();
        for (pause, active, accepted, connections) in steps {
            // Each check comes in time.
            let pause = ms(pause).min(ms(10));
            observation = Observation { elapsed: observation.elapsed.max(shutdown.next_check()) + pause, active, accepted, connections };
            let before = shutdown.phase();
            let after = shutdown.step(&observation);
            let late = observation.elapsed >= stop + flush;
            match (before, after) {
                (Phase::Serving, Phase::Draining) => prop_assert!(observation.elapsed >= ms(serve_ms)),
                (Phase::Draining, Phase::FinalAccept) => prop_assert!(late || active == 0),
                (Phase::FinalAccept, Phase::Draining) => prop_assert!(accepted > 0),
                (Phase::FinalAccept, Phase::Closing) => prop_assert!(late || accepted == 0),
                (Phase::Closing, Phase::Done) => {}
                (before, after) => prop_assert_eq!(before, after),
            }
            // 0.2 s before the earliest SIGKILL, plus the pauses of the last steps.
            if observation.elapsed >= stop + flush * 2 + ms(40) {
                prop_assert_eq!(after, Phase::Done);
            }
        }
    }
}

/// A connection whose client does not read its answer stays open until it has to make room for others (an
/// immediate close). One that is asked to close gracefully while its answer is written is not cut.
#[test]
fn only_a_stalled_answer_is_cut_by_an_immediate_close() {
    let new_exchange = || {
        let mut lifecycle = Lifecycle::default();
        let (bytes, _) = request(0, 0, 0);
        assert_eq!(lifecycle.pass_to_parser(&bytes, MAX_HEAD_BYTES), Ok(bytes.len()));
        assert!(lifecycle.request_started(BodyRest::Sized(0)));
        lifecycle
    };
    let mut closing_before = new_exchange();
    closing_before.request_close(CloseMode::Immediate);
    assert!(closing_before.response_started(false) && !closing_before.write_stalled());
    closing_before.response_flushed();
    assert_eq!(closing_before.stage(), Stage::Closed);
    let mut graceful = new_exchange();
    graceful.response_started(false);
    graceful.request_close(CloseMode::Graceful);
    assert!(!graceful.write_stalled());
    let mut immediate = new_exchange();
    immediate.response_started(false);
    immediate.request_close(CloseMode::Immediate);
    assert!(immediate.write_stalled());
}

/// The end of a chunked body is found wherever it is cut, and nothing behind it is taken for the body.
#[test]
fn the_end_of_a_chunked_body_is_found() {
    for body in [
        "0\r\n\r\n",
        "5\r\nhello\r\n0\r\n\r\n",
        "A;name=\"0\"\r\n0\r\n\r\n0\r\n\r\n\r\n00\r\nX: 1\r\nY: 2\r\n\r\n",
        "1 \r\n\n\r\n0;last\r\n\r\n",
    ] {
        let bytes = format!("{body}GET / HTTP/1.1\r\n\r\n").into_bytes();
        for size in 1..bytes.len() {
            let mut scanner = ChunkScanner::default();
            let mut scanned = 0;
            for piece in bytes.chunks(size) {
                let (count, ended) = scanner.scan(piece);
                scanned += count;
                assert_eq!(ended, scanned == body.len(), "{body:?} in pieces of {size}");
            }
            assert_eq!(scanned, body.len(), "{body:?} in pieces of {size}");
        }
    }
    // A size that overflows does not end the body.
    assert_eq!(ChunkScanner::default().scan(b"ffffffffffffffffffff\r\n0\r\n\r\n"), (27, false));
}
