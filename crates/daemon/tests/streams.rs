//! Token streams from a scripted engine to a caller.

mod support;

use support::{head, last, token, tokens, Act, Rig, Seen, Target};

/// A script with the number of the request, from 1.
type Script = fn(&Seen, usize) -> Vec<Act>;

#[tokio::main]
async fn delivers(script: Script, expected: &str, end: &str) {
    let target = Target::start(script).await;
    let rig = Rig::start(&target).await;
    let (status, text) = rig.stream().await;
    assert_eq!(status, 200);
    assert_eq!(tokens(&text), expected, "{text}");
    assert!(text.ends_with(end), "{text}");
}

const DONE: &str = "data: [DONE]\n\n";

fn plain(seen: &Seen, _: usize) -> Vec<Act> {
    vec![Act::Send(
        head(&seen.id) + &token("g1", 0) + &token("g1", 1) + &last(2),
    )]
}

hornbeamloom_kernel::cases! {
    delivers;
    whole_stream_reaches_the_caller: (plain, "<0><1><2>", DONE);
}
