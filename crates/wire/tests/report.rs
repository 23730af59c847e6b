//! Parsing of load reports and cache events of targets.

use hornbeamloom_kernel::target::{Phase, Report};
use hornbeamloom_wire::report::{parse_cache_batch, parse_report, Error};
use quickcheck::{Arbitrary, Gen};

/// Fixed, so that every run tests the same inputs.
const SEED: u64 = 12;
const RUNS: usize = 20_000;

fn parses_to(text: &str, expected: Result<Report, Error>) {
    assert_eq!(parse_report(text), expected);
}

fn report() -> Report {
    Report { start_id: 7, ..Report::default() }
}

hornbeamloom_kernel::cases! {
    parses_to;
    report_without_phase_is_cold: ("engine_start_id 7", Ok(report()));
    report_without_start_id_is_refused: ("engine_phase{phase=\"warm\"} 1", Err(Error::MissingStartId));
    unset_phase_is_skipped: ("engine_start_id 7\nengine_phase{phase=\"warm\"} 0", Ok(report()));
    unknown_phase_is_cold: ("engine_start_id 7\nengine_phase{phase=\"hot\"} 1", Ok(report()));
    leaving_is_read: ("engine_start_id 7\nengine_phase{phase=\"leaving\"} 1", Ok(Report { phase: Phase::Leaving, ..report() }));
    additional_labels_are_ignored: ("engine_start_id 7\nengine_loaded{name=\"a@1\",x=\"}\"} 1 99", Ok(Report { loaded: vec!["a@1".into()], ..report() }));
    labelled_number_is_read: ("engine_start_id 7\nvllm:num_requests_running{model=\"m\"} 3.0", Ok(Report { running: 3, ..report() }));
    usage_above_one_is_full: ("engine_start_id 7\nvllm:kv_cache_usage_perc 1.5\nengine_kv_tokens 10", Ok(Report { kv_used: 10, kv_capacity: 10, ..report() }));
    usage_before_capacity_is_read: ("vllm:kv_cache_usage_perc 0.5\nengine_kv_tokens 10\nengine_start_id 7", Ok(Report { kv_used: 5, kv_capacity: 10, ..report() }));
    nan_is_refused: ("engine_start_id 7\nvllm:num_requests_running NaN", Err(Error::InvalidValue));
    negative_number_is_refused: ("engine_start_id 7\nengine_fence -1", Err(Error::InvalidValue));
    large_start_id_is_exact: ("engine_start_id 18446744073709551615", Ok(Report { start_id: u64::MAX, ..report() }));
}

/// The expected values are the first event and the numbers of stored and evicted hashes; `None` if
/// the batch is rejected.
fn parses_batch_to(text: &str, expected: Option<(u64, usize, usize)>) {
    let batch = parse_cache_batch(text.as_bytes()).ok();
    let got = batch.map(|batch| (batch.first, batch.stored.len(), batch.evicted.len()));
    assert_eq!(got, expected);
}

hornbeamloom_kernel::cases! {
    parses_batch_to;
    batch_without_events_is_read: (r#"{"first": 3}"#, Some((3, 0, 0)));
    batch_with_events_is_read: (r#"{"first": 0, "stored": ["ff", "0"], "evicted": ["ffffffffffffffff"]}"#, Some((0, 2, 1)));
    batch_without_number_is_refused: (r#"{"stored": []}"#, None);
    hash_beyond_64_bits_is_refused: (r#"{"first": 0, "stored": ["10000000000000000"]}"#, None);
    hash_that_is_no_number_is_refused: (r#"{"first": 0, "stored": ["xyz"]}"#, None);
    oversized_batch_is_refused: (&format!(r#"{{"first": 0, "stored": [{}"0"]}}"#, r#""0","#.repeat(20_000)), None);
}

/// Guards against panics and unbounded lists on malformed reports.
#[test]
fn any_text_is_read_or_refused() {
    let parts = [
        "engine_start_id",
        " ",
        "7",
        "\n",
        "{",
        "}",
        "=\"",
        "\"",
        "engine_loaded{name=\"a\"} 1\n",
        "engine_phase{phase=\"warm\"} 1\n",
        "vllm:kv_cache_usage_perc ",
        "1e400",
        "-1",
        "NaN",
        "#",
    ];
    let mut g = Gen::from_size_and_seed(30, SEED);
    for _ in 0..RUNS {
        let text: String = Vec::<u8>::arbitrary(&mut g)
            .iter()
            .map(|byte| parts[usize::from(*byte) % parts.len()])
            .collect();
        if let Ok(report) = parse_report(&text) {
            assert!(report.kv_used <= report.kv_capacity, "{text}");
        }
        let bytes = Vec::<u8>::arbitrary(&mut g);
        let _ = parse_cache_batch(&bytes);
        let _ = parse_report(&String::from_utf8_lossy(&bytes));
    }
    let many_models = "engine_loaded{name=\"a\"} 1\n".repeat(10_000) + "engine_start_id 1";
    assert!(parse_report(&many_models).unwrap().loaded.len() <= 256);
}
