//! Limits that a single client meets, without a crowd.

use std::sync::PoisonError;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::crowd::{self, Way};
use crate::site::{Port, Site};
use crate::{cluster, fleet, ONE_AT_A_TIME};

hornbeamloom_kernel::cases! {
    client_is_closed;
    // Guard against a client that keeps its connection for as long as it moves a byte now and then.
    slow_head_is_closed: (Port::OwnCallers, Way::SlowHead, json!({"header_s": 1}), "slow_head");
    slow_body_is_closed: (Port::OwnCallers, Way::SlowBody, json!({"progress_s": 1}), "slow_body");
    slow_reader_is_closed: (Port::OwnCallers, Way::SlowReader, json!({"progress_s": 1}), "slow_reader");
    reader_that_stops_is_closed: (Port::Operators, Way::Pipelined, json!({"progress_s": 1}), "slow_reader");
    slow_head_to_operators_is_closed: (Port::Operators, Way::SlowHead, json!({"header_s": 1}), "slow_head");
    // Guard against limits that are read but not in force.
    head_over_the_fields_is_refused: (Port::OwnCallers, Way::ManyFields, json!({"header_fields": 100}), "head");
    head_without_end_is_refused: (Port::Operators, Way::FieldsWithoutEnd, json!({}), "head");
    body_over_the_limit_is_refused: (Port::OwnCallers, Way::BodyOverLimit, json!({}), "body");
}

/// Checks that a client is closed, that the reason is counted, and that others are served.
fn client_is_closed(port: Port, way: Way, limits: Value, reason: &str) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    fleet::block_on(async {
        let site = Site::start_with_limits(port, limits).await;
        let targets = site.targets();
        let closed = crowd::misbehave_until_closed(site.address(), &targets[0], way);
        timeout(cluster::TEST_TIMEOUT, closed).await.expect("the daemon closes the connection");
        let counter = format!("hornbeamloom_client_limits_total{{reason=\"{reason}\"}}");
        cluster::wait_until("the reason is counted", || async {
            site.metrics().await.contains(&counter)
        })
        .await;
        assert!(site.answers_ordinary_request().await);
    });
}

/// Guards against a limit for each address that is not in force, or in force without being set.
#[test]
fn connections_of_one_address_are_limited_if_set() {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    fleet::block_on(async {
        let limits = json!({"address_connections": 16});
        let site = Site::start_with_limits(Port::OwnCallers, limits).await;
        let mut open = Vec::new();
        for _ in 0..40 {
            open.push(TcpStream::connect(site.address()).await.expect("the daemon listens"));
        }
        let mut closed = 0;
        for stream in &mut open {
            let read = timeout(Duration::from_millis(200), stream.read_u8()).await;
            closed += usize::from(read.is_ok());
        }
        assert!(closed >= 24, "{closed} of 40 connections closed");
        drop(open);
        assert!(site.answers_ordinary_request().await);
    });
}
