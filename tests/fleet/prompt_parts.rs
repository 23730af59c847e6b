//! Parts of prompts that crash engines.

use hornbeamloom_bench::fleet::Fleet;
use hornbeamloom_bench::mock_engine::Fault;

use crate::harness::{
    block_on, new_attempt_id, new_request, send, start_engines, start_fleet, CallerResponse,
};

const ENGINES: usize = 8;

/// Sends a request whose prompt has these parts.
async fn send_prompt(fleet: &Fleet, parts: &str) -> CallerResponse {
    let attempt_id = new_attempt_id();
    let request = new_request(fleet, 0, "/draft/1", &attempt_id)
        .header("x-prompt-prefix", parts)
        .body("events=3");
    send(request, attempt_id).await
}

/// Guards against requests, no two alike, that crash all engines for a shared part, and against a
/// quarantine of other parts: those of sound requests, and the last part of a prompt, which belongs
/// to its request.
#[test]
fn part_that_crashes_engines_is_refused_and_others_are_served() {
    block_on(async {
        let fleet = start_fleet().await;
        let engines = start_engines(&fleet, ENGINES).await;
        engines.iter().for_each(|engine| engine.set_fault(Fault::CrashesOnPart("dead")));
        let mut last = CallerResponse { status: 0, ..send_prompt(&fleet, "aa:10,1:5").await };
        for number in 0..12 {
            last = send_prompt(&fleet, &format!("aa:10,dead:10,{number:x}:5")).await;
            let sound = send_prompt(&fleet, &format!("aa:10,bb:10,{number:x}:5")).await;
            assert_eq!((number, sound.status), (number, 200));
        }
        assert_eq!(last.status, 503);
        assert!(last.headers.contains_key("retry-after"));
        assert!(fleet.request_log.executed_by(&last.attempt_id).is_empty());
        engines.iter().for_each(|engine| engine.set_fault(Fault::None));
        // Capital letters and leading zeros name the same part.
        assert_eq!(send_prompt(&fleet, "00DEAD:10,77:5").await.status, 503);
        assert_eq!(send_prompt(&fleet, "aa:10,dead:10").await.status, 200);
        // A malformed entry is skipped, and a prompt without parts has no cause.
        assert_eq!(send_prompt(&fleet, "dead,:,x:1,bb:10,77:5").await.status, 200);
        assert_eq!(send_prompt(&fleet, "").await.status, 200);
    });
}
