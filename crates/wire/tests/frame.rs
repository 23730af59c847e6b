//! Frames between daemons: encoded messages are decoded, all other input is rejected.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::feed::{Row, Rows, Table, TableUpdate};
use hornbeamloom_kernel::ids::{Fence, Incarnation, Millis, Revision};
use hornbeamloom_kernel::outcome::{Reason, Refusal};
use hornbeamloom_kernel::peer::{
    Advice, Ask, Death, Delta, Gossip, Grant, Heartbeat, Load, MemberEntry, MemberStatus, Message,
    Progress, Release, Running, Slack, Suspect, UsageReport,
};
use hornbeamloom_kernel::pool::Key;
use hornbeamloom_kernel::request::{Class, End, Id};
use hornbeamloom_kernel::resource::{self, Kind, Record, Spec};
use hornbeamloom_kernel::rollout::Phase;
use hornbeamloom_kernel::rollout_count::{Cell, Report};
use hornbeamloom_wire::frame::{self, Error};
use quickcheck::{Arbitrary, Gen};

fn pool() -> Key {
    Key::new("menu-model", "riga-a")
}

fn id() -> Id {
    Id::new("entry-b1", Incarnation(0x18f), 42)
}

fn gossip() -> Message {
    let entry = MemberEntry {
        vm: "entry-b1".into(),
        zone: "riga-a".into(),
        peer_address: "127.0.0.1:8300".into(),
        caller_address: "127.0.0.1:8100".into(),
        incarnation: Incarnation(1_700_000_000_000),
        heartbeat: 77,
        revision: Revision(12),
        status: MemberStatus::Serving,
        pools: vec![(pool(), Fence(4))],
    };
    Message::Gossip(Gossip {
        entries: vec![entry],
        heartbeats: vec![Heartbeat {
            vm: "entry-b2".into(),
            incarnation: Incarnation(5),
            counter: 78,
            revision: Revision(12),
        }],
    })
}

fn delta() -> Message {
    let zone = resource::AvailabilityZone {
        region: "riga".into(),
        state: resource::ZoneState::OutOfService,
    };
    let record = Record {
        key: resource::Key { kind: Kind::AvailabilityZone, name: "riga-a".into() },
        version: Revision(12),
        generation: 2,
        labels: [("team".to_owned(), "soma".to_owned())].into(),
        spec: Some(Spec::AvailabilityZone(zone)),
    };
    Message::Delta(Delta {
        from: Revision(3),
        to: Revision(12),
        sequence: 0,
        complete: false,
        records: vec![record],
    })
}

fn ask() -> Ask {
    Ask {
        pool: pool(),
        id: id(),
        attempt: 2,
        organisation: "kitchen-1".into(),
        prompt_tokens: 400,
        max_tokens: Some(90),
        class: Class::Short,
        fingerprint: u64::MAX,
        prefixes: vec![1, 2],
        parts: vec![3, u64::MAX],
        waited_ms: 10,
        max_wait_ms: 30_000,
        exclude: vec!["engine-1".into()],
        priority: None,
        spills: false,
        standby_target: None,
        generated_tokens: 0,
        is_recomputed: false,
        slack: None,
    }
}

fn release() -> Message {
    Message::Release(Release {
        pool: pool(),
        id: id(),
        attempt: 1,
        target: "engine-1".into(),
        end: End::Complete,
        tokens: 9,
        first_token_ms: None,
    })
}

fn grant() -> Message {
    Message::Grant(Grant {
        pool: pool(),
        id: id(),
        attempt: 1,
        target: "engine-1".into(),
        address: "127.0.0.1:9000".into(),
        fence: Fence(4),
        priority: -1,
        usage: 600,
        limit: Some(1_500),
    })
}

fn progress() -> Message {
    Message::Progress {
        pool: pool(),
        entries: vec![Progress { incarnation: Incarnation(0x18f), counter: 42, tokens: 7 }],
        usage: Vec::new(),
        pace: Vec::new(),
    }
}

fn refuse() -> Message {
    Message::Refuse {
        id: id(),
        attempt: 1,
        refusal: Refusal::new(Reason::PoolQueue).with_retry_after(900),
        advice: Some(Advice::Ask("riga-b".into())),
    }
}

fn inventory() -> Message {
    let running = Running { ask: ask(), target: "engine-1".into(), tokens: 3 };
    Message::Inventory { pool: pool(), fence: Fence(5), running: vec![running] }
}

fn death() -> Message {
    Message::Death(Death {
        target: "engine-1".into(),
        start_id: 9,
        running: vec![Suspect {
            fingerprint: 3,
            organisation: "kitchen-1".into(),
            service: "menu-model".into(),
            parts: vec![3, u64::MAX],
            granted_ago_ms: 900,
        }],
        age_ms: 12,
    })
}

fn targets() -> Message {
    let (warm, cold) = (vec!["engine-1".into()], vec!["engine-2".into()]);
    Message::Targets { pool: pool(), warm, cold, usage: Vec::new() }
}

fn backpressure() -> Message {
    let pool = Key::new("menu-model", "riga-a");
    let target = "engine-1".into();
    Message::Backpressure {
        pool,
        target,
        limit: Some(1_500),
        max_rejections: Some(4),
        is_leaving: true,
    }
}

fn departing() -> Message {
    Message::Departing { target: "engine-1".into() }
}

fn subscribe() -> Message {
    let known = vec![(Table::Resources, Revision(3)), (Table::Targets, Revision(0))];
    Message::Subscribe { sent: Millis(5), incarnation: Incarnation(3), known, needs_read: true }
}

fn table_updates() -> Message {
    let row = |key: &str, value: Option<&[u8]>| Row {
        key: key.into(),
        version: Revision(9),
        value: value.map(<[u8]>::to_vec),
        sequence: None,
    };
    let rows = Rows {
        table: Table::Targets,
        from: Revision(3),
        version: Revision(12),
        is_whole: false,
        // Values may be arbitrary bytes.
        rows: vec![row("engine-1", Some(b"\xff{")), row("engine-2", None)],
    };
    let updates = vec![TableUpdate { rows, age_ms: Some(-40) }];
    Message::TableUpdates { sent: Millis(5), incarnation: Incarnation(3), updates }
}

const TERMS: Slack = Slack { max_retry_after_ms: 2_000 };
const LOAD: Load = Load { wait_ms: 40, room: 9_000, rate: 70_000 };

/// Guards against fields of admission by slack in the messages of a deployment without it, which
/// are the same as in earlier versions.
fn is_unchanged(message: Message, field: &str) {
    let bytes = frame::encode("entry-b1", &message).unwrap();
    let is_there = bytes.windows(field.len()).any(|window| window == field.as_bytes());
    assert!(!is_there, "{field} is encoded");
}

cases! {
    is_unchanged;
    ask_without_terms_is_unchanged: (Message::Ask(ask()), "slack");
    refusal_without_advice_is_unchanged: (Message::Refuse {
        id: id(),
        attempt: 1,
        refusal: Refusal::new(Reason::Busy),
        advice: None,
    }, "advice");
}

fn sample_messages() -> Vec<Message> {
    vec![
        gossip(),
        delta(),
        Message::Ask(ask()),
        grant(),
        progress(),
        refuse(),
        inventory(),
        release(),
        death(),
        targets(),
        departing(),
        backpressure(),
        subscribe(),
        table_updates(),
        rollout_report(),
        rollout_phase(),
        Message::Pull { from: Revision(3) },
        Message::Withdraw { pool: pool(), id: id() },
        Message::Hello { pool: pool(), fence: Fence(5) },
    ]
}

fn rollout_report() -> Message {
    let cell = Cell {
        route: 9,
        target: "engine-1".into(),
        complete: 5,
        failed: 1,
        first: vec![(13, 4), (14, 1)],
        pace: vec![(26, 3)],
    };
    let report = Report {
        incarnation: Incarnation(2),
        sent: Millis(700),
        sequence: 6,
        phase: Phase::Promoting,
        elapsed_ms: 650,
        running_old: 3,
        cells: vec![cell],
    };
    Message::RolloutReport { service: "menu-model".into(), order: Revision(7), report }
}

fn rollout_phase() -> Message {
    Message::RolloutPhase {
        service: "menu-model".into(),
        order: Revision(7),
        phase: Phase::Reverting,
        elapsed_ms: 650,
        decides: true,
        answers: Some((Incarnation(2), Millis(700))),
    }
}

/// Guards against a message that one daemon encodes and another cannot decode.
fn is_read_back(message: Message) {
    let bytes = frame::encode("entry-b1", &message).unwrap();
    let frame = frame::decode(&bytes).unwrap();
    assert_eq!(&*frame.sender, "entry-b1");
    assert_eq!(frame.message, message);
    assert!(frame::KINDS.contains(&frame::kind(&message)));
}

cases! {
    is_read_back;
    gossip_is_read_back: (gossip());
    delta_is_read_back: (delta());
    pull_is_read_back: (Message::Pull { from: Revision(3) });
    ask_is_read_back: (Message::Ask(ask()));
    ask_of_a_rerun_is_read_back: (Message::Ask(Ask { generated_tokens: 8, is_recomputed: true, ..ask() }));
    ask_on_terms_is_read_back: (Message::Ask(Ask { slack: Some(TERMS), ..ask() }));
    load_is_read_back: (Message::Load { pool: pool(), load: LOAD });
    grant_is_read_back: (grant());
    refusal_is_read_back: (refuse());
    progress_is_read_back: (progress());
    release_is_read_back: (release());
    inventory_is_read_back: (inventory());
    death_is_read_back: (death());
    targets_are_read_back: (targets());
    departure_is_read_back: (departing());
    backpressure_is_read_back: (backpressure());
    acknowledgement_is_read_back: (Message::Ack { pool: pool() });
    table_subscription_is_read_back: (subscribe());
    table_update_is_read_back: (table_updates());
    rollout_report_is_read_back: (rollout_report());
    rollout_phase_is_read_back: (rollout_phase());
}

/// Guards against asks that differ from those of the preceding build although nothing is run again.
#[test]
fn ask_of_another_request_is_encoded_as_before() {
    let bytes = frame::encode("entry-b1", &Message::Ask(ask())).unwrap();
    assert!(!bytes.windows(10).any(|window| window == b"recomputed"));
}

/// Guards against input that terminates the reader, or that is accepted as a frame of this version.
fn is_skipped(bytes: Vec<u8>, label: &str) {
    let error = frame::decode(&bytes).unwrap_err();
    assert_eq!(error.as_str(), label, "{error}");
}

fn encode_cbor(value: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    bytes
}

cases! {
    is_skipped;
    newer_version_is_skipped: (encode_cbor(&(2, "entry-b1", "gossip", [1, 2])), "frame_version");
    newer_version_of_another_length_is_skipped: (encode_cbor(&(2,)), "frame_version");
    unknown_kind_is_skipped: (encode_cbor(&(1, "entry-b1", "census", 5)), "frame_kind");
    kind_that_does_not_match_is_skipped:
        (encode_cbor(&(1, "entry-b1", "ask", Message::Pull { from: Revision(1) })), "frame_malformed");
    missing_message_is_skipped: (encode_cbor(&(1, "entry-b1", "gossip")), "frame_malformed");
    empty_input_is_skipped: (Vec::new(), "frame_malformed");
    text_is_skipped: (b"GET / HTTP/1.1".to_vec(), "frame_malformed");
    deep_nesting_is_skipped: (vec![0x81; 100_000], "frame_malformed");
    announced_length_without_bytes_is_skipped:
        (vec![0x84, 1, 0x7b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff], "frame_malformed");
    oversized_input_is_skipped: (vec![0; frame::MAX_BYTES + 1], "frame_oversized");
}

/// Guards against bytes on the wire that differ from those of VMs which neither pass on usage nor
/// measure the pace of targets.
#[test]
fn optional_measurements_are_omitted() {
    let usage = UsageReport { zone: "riga-b".into(), usage: 400, age_ms: 90 };
    let targets = |usage| Message::Targets { pool: pool(), warm: vec![], cold: vec![], usage };
    let contains = |message: &Message, field: &str| {
        let bytes = frame::encode("entry-b1", message).expect("a small message");
        bytes.windows(field.len()).any(|window| window == field.as_bytes())
    };
    assert!(!contains(&progress(), "usage") && !contains(&progress(), "pace"));
    assert!(!contains(&targets(vec![]), "usage"));
    assert!(contains(&targets(vec![usage]), "usage"));
}

/// Guards against a message that the peer would reject for its size.
#[test]
fn oversized_message_is_not_encoded() {
    let message = Message::Targets {
        pool: pool(),
        warm: vec!["engine".into(); frame::MAX_BYTES / 6],
        cold: Vec::new(),
        usage: Vec::new(),
    };
    assert!(matches!(
        frame::encode("entry-b1", &message),
        Err(Error::Oversized(bytes)) if bytes > frame::MAX_BYTES
    ));
}

/// Guards against a panic on arbitrary or corrupted input, and against frames that change when they
/// are decoded and encoded again.
fn never_panics(seed: u64) {
    const ROUNDS: usize = 2_000;
    let mut gen = Gen::from_size_and_seed(200, seed);
    let sample_messages = sample_messages();
    for round in 0..ROUNDS {
        let sample = &sample_messages[round % sample_messages.len()];
        let mut bytes = frame::encode("entry-b1", sample).unwrap();
        corrupt(&mut bytes, &mut gen);
        if let Ok(frame) = frame::decode(&bytes) {
            let reencoded = frame::encode(&frame.sender, &frame.message).unwrap();
            assert_eq!(frame::decode(&reencoded), Ok(frame), "seed {seed} round {round}");
        }
        let random_bytes = Vec::<u8>::arbitrary(&mut gen);
        drop(frame::decode(&random_bytes));
    }
}

fn corrupt(bytes: &mut Vec<u8>, gen: &mut Gen) {
    let at = usize::arbitrary(gen) % bytes.len();
    match u8::arbitrary(gen) % 4 {
        0 => bytes.truncate(at),
        1 => bytes[at] = u8::arbitrary(gen),
        2 => bytes.insert(at, u8::arbitrary(gen)),
        _ => drop(bytes.remove(at)),
    }
}

cases! {
    never_panics;
    damaged_frames_of_seed_1_never_panic: (1);
    damaged_frames_of_seed_2_never_panic: (2);
    damaged_frames_of_seed_3_never_panic: (3);
}

/// Number of inputs of a fuzz run: HORNBEAMLOOM_FUZZ_INPUTS, or else few enough for each test run.
fn fuzz_inputs() -> usize {
    let inputs = std::env::var("HORNBEAMLOOM_FUZZ_INPUTS").ok();
    inputs.and_then(|inputs| inputs.parse().ok()).unwrap_or(20_000)
}

/// Largest resident memory of this process so far, in MiB.
fn peak_resident_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let kib: u64 = line.split_whitespace().next().unwrap().parse().unwrap();
    kib / 1_024
}

/// Guards against a panic, and against input of a few bytes that makes the reader allocate what it
/// announces. Each input is a sample with up to eight faults, the start of one sample with the end of
/// another, or arbitrary bytes.
#[test]
fn fuzzed_frames_never_panic_and_stay_bounded() {
    const MAX_GROWTH_MB: u64 = 32;
    let mut gen = Gen::from_size_and_seed(400, 7);
    let samples: Vec<Vec<u8>> =
        sample_messages().iter().map(|sample| frame::encode("entry-b1", sample).unwrap()).collect();
    let before = peak_resident_mb();
    let mut decoded = 0;
    for round in 0..fuzz_inputs() {
        let mut bytes = samples[round % samples.len()].clone();
        match u8::arbitrary(&mut gen) % 4 {
            0 => bytes = Vec::arbitrary(&mut gen),
            1 => {
                let other = &samples[usize::arbitrary(&mut gen) % samples.len()];
                bytes.truncate(usize::arbitrary(&mut gen) % bytes.len());
                bytes.extend_from_slice(&other[usize::arbitrary(&mut gen) % other.len()..]);
            }
            _ => {
                for _ in 0..=u8::arbitrary(&mut gen) % 8 {
                    if !bytes.is_empty() {
                        corrupt(&mut bytes, &mut gen);
                    }
                }
            }
        }
        decoded += usize::from(frame::decode(&bytes).is_ok());
    }
    let growth = peak_resident_mb() - before;
    println!("{decoded} of {} inputs decoded, {growth} MB more", fuzz_inputs());
    assert!(growth <= MAX_GROWTH_MB, "{growth} MB more");
}
