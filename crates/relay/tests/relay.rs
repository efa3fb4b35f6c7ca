//! Encoding of relay requests and batches, collection of answers, and assignment of parts.

use std::time::{Duration, Instant};

use relay::{Batch, Collector, Decoder, End, Notices, Request, plan};

fn answered(stamp: &str) -> End {
    End::Answered { stamp: stamp.into(), load: Some((1, 0)), time: Duration::from_millis(7) }
}

#[test]
fn request_round_trips_through_its_text() {
    let request = Request {
        flush: Duration::from_millis(18),
        max_records: 20,
        upstreams: vec!["i-1".into(), "i-2".into()],
    };
    assert_eq!(request.to_string(), "18;20;i-1,i-2");
    assert_eq!(request.to_string().parse::<Request>().expect("own text"), request);
}

#[test]
fn parse_error_names_the_malformed_field() {
    for (text, field) in [
        ("", "flush"),
        ("x;20;a", "flush"),
        ("18", "max_records"),
        ("18;-1;a", "max_records"),
        ("18;20", "upstreams"),
        ("18;20;a,,b", "upstreams"),
    ] {
        let error = text.parse::<Request>().expect_err(text);
        assert!(error.is_request());
        assert!(error.to_string().contains(field), "{text}: {error}");
    }
}

#[test]
fn batches_are_decoded_from_a_stream_byte_by_byte() {
    let first = Batch { ends: vec![(3, answered("a"))], records: vec![1; 32] };
    let second = Batch { ends: vec![(0, End::Failed), (1, End::Unsent)], records: Vec::new() };
    let bytes = [first.encode(), second.encode()].concat();
    let mut decoder = Decoder::default();
    let mut decoded = Vec::new();
    for byte in bytes {
        decoder.push(&[byte]);
        while let Some(batch) = decoder.take().expect("bytes of a batch") {
            decoded.push(batch);
        }
    }
    assert_eq!(decoded, [first, second]);
}

#[test]
fn invalid_batch_is_an_error() {
    let mut decoder = Decoder::default();
    decoder.push(&[1, 0, 9, 9, 9, 9]);
    let error = decoder.take().expect_err("an unknown variant of End");
    assert!(!error.is_request());
}

#[test]
fn answers_are_buffered_until_the_flush_deadline() {
    let now = Instant::now();
    let flush = now + Duration::from_millis(20);
    let mut collector = Collector::new(3, 2, flush);
    collector.answer(0, answered("a"), vec![1; 16].into());
    collector.answer(2, answered("c"), [[3; 16], [2; 16]].concat().into());
    assert_eq!(collector.take(now), None);
    assert_eq!(collector.due(), Some(flush));
    let batch = collector.take(flush).expect("the flush deadline has passed");
    assert_eq!(batch.ends, [(0, answered("a")), (2, answered("c"))]);
    assert_eq!(batch.records, [[3; 16], [2; 16]].concat());
    assert!(!collector.is_done());
    collector.answer(1, answered("b"), vec![9; 16].into());
    let batch = collector.take(flush).expect("answers after the deadline are returned at once");
    assert_eq!(batch.records, [9; 16]);
    assert!(collector.is_done());
}

#[test]
fn failure_is_returned_at_once_without_records() {
    let now = Instant::now();
    let mut collector = Collector::new(2, 5, now + Duration::from_millis(20));
    collector.answer(0, answered("a"), vec![1; 16].into());
    collector.fail(1, End::Refused { replaced: false });
    let batch = collector.take(now).expect("every part has ended");
    assert_eq!(batch.ends.len(), 2);

    let mut collector = Collector::new(3, 5, now + Duration::from_millis(20));
    collector.answer(0, answered("a"), vec![1; 16].into());
    collector.fail(1, End::Failed);
    let batch = collector.take(now).expect("a failure");
    assert_eq!(batch, Batch { ends: vec![(1, End::Failed)], records: Vec::new() });
}

#[test]
fn few_parts_of_a_domain_are_requested_directly() {
    let parts = [(0, None), (1, Some("x")), (2, Some("y")), (3, Some("y")), (4, Some("y"))];
    let (direct, requests) = plan(parts);
    assert_eq!(direct, [0, 1]);
    assert_eq!(requests, [("y", vec![2, 3, 4])]);
}

/// Guards against a relay becoming the straggler of a query over hundreds of shards, most of them
/// in other failure domains.
#[test]
fn many_parts_are_spread_over_requests_of_equal_size() {
    let (direct, requests) = plan((0..60).map(|part| (part, Some("y"))));
    assert!(direct.is_empty());
    let sizes: Vec<_> = requests.iter().map(|(_, parts)| parts.len()).collect();
    assert_eq!(sizes, [20, 20, 20]);
}

#[test]
fn rate_limits_round_trip_through_their_text() {
    let limits = Notices { values: vec![(0, 23.8), (7, 0.0)] };
    assert_eq!(limits.to_string(), "0=23.8,7=0");
    assert_eq!(limits.to_string().parse::<Notices<f64>>().expect("own text"), limits);
}

#[test]
fn malformed_rate_limits_are_rejected() {
    for text in ["", "1", "1=", "x=2", "1=-2", "1=inf", "1=NaN", "1=2,", "70000=1"] {
        let error = text.parse::<Notices<f64>>().expect_err(text);
        assert!(!error.is_request(), "{text}");
    }
}

#[test]
fn starts_of_leaving_upstreams_round_trip_through_their_text() {
    let leaving = Notices { values: vec![(3, 1_796_356_327_647_u64), (4, 0)] };
    assert_eq!(leaving.to_string().parse::<Notices<u64>>().expect("own text"), leaving);
    for text in ["", "1", "1=", "1=-2", "1=0.5", "1=2,"] {
        text.parse::<Notices<u64>>().expect_err(text);
    }
}
