//! The path of a request from a caller to a target and back.

use crate::harness::{add_targets, block_on, start_cluster, stream_completion, warm_engine};

hornbeamloom_kernel::cases! {
    stream_is_complete;
    // Guards against requests that complete only if their entry VM owns the pool.
    stream_through_the_first_vm_is_complete: (0, 40);
    stream_through_another_vm_is_complete: (1, 40);
    stream_through_another_zone_is_complete: (2, 40);
    single_token_stream_is_complete: (0, 1);
}

fn stream_is_complete(daemon: usize, length: usize) {
    block_on(async move {
        let daemons = [("entry-a1", "lodz-a"), ("entry-a2", "lodz-a"), ("entry-b1", "lodz-b")];
        let mut cluster = start_cluster(&daemons).await;
        add_targets(&mut cluster, &[warm_engine("engine-a1", "lodz-a")]).await;
        let response = stream_completion(&cluster, daemon, "t", length).await;
        assert_eq!(response.status, 200, "{response:?}");
        response.assert_complete("t", length);
        let entry = &cluster.daemons[daemon].vm;
        assert!(response.request_id.starts_with(&format!("{entry}-")), "{}", response.request_id);
    });
}
