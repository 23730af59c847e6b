//! Tests that invalid settings are rejected with a one-line message that names the problem.

use hornbeamloom_daemon::settings;

const VALID: &str = "vm: entry-1
zone: lodz-a
listen: {callers: '127.0.0.1:8100', operators: '127.0.0.1:8200', peers: '127.0.0.1:8300'}
platform: {table: 'http://127.0.0.1:8400', objects: 'http://127.0.0.1:8400', vms: 'http://127.0.0.1:8400'}
peers: ['127.0.0.1:8301']
keys: {operator: [op-secret], peer: [peer-secret]}
log: {level: info}
settle_s: 10
shutdown_limit_s: null
limits: {body_bytes: 1048576, header_s: 10, connections: 4096}
";

/// Checks that the valid settings with one change are rejected, and that the message contains all
/// `expected_parts`.
fn is_refused(from: &str, to: &str, expected_parts: &[&str]) {
    assert!(settings::parse(VALID).is_ok());
    let text = VALID.replacen(from, to, 1);
    assert_ne!(text, VALID, "the change has no effect");
    let message = settings::parse(&text).unwrap_err().to_string();
    for part in expected_parts {
        assert!(message.contains(part), "{message:?} does not contain {part:?}");
    }
    assert!(!message.contains('\n'), "{message:?} has more than one line");
    assert!(!message.contains("secret"), "{message:?} contains a key");
}

/// Checks that the valid settings with one change are accepted.
fn is_accepted(from: &str, to: &str) {
    let text = VALID.replacen(from, to, 1);
    assert_ne!(text, VALID, "the change has no effect");
    settings::parse(&text).expect("the settings are valid");
}

hornbeamloom_kernel::cases! {
    is_accepted;
    // Guards against a daemon that does not start because a time is not a whole number.
    fraction_as_settle_time: ("settle_s: 10", "settle_s: 2.5");
    fraction_as_shutdown_limit: ("shutdown_limit_s: null", "shutdown_limit_s: 10.5");
    whole_number_with_a_point_as_shutdown_limit: ("shutdown_limit_s: null", "shutdown_limit_s: 11.0");
    fraction_as_header_time: ("header_s: 10", "header_s: 1.5");
}

hornbeamloom_kernel::cases! {
    is_refused;
    unknown_key_is_refused: ("zone:", "zzz: 1\nzone:", &["zzz"]);
    unknown_nested_key_is_refused: ("header_s", "heade_s", &["heade_s"]);
    missing_key_is_refused: ("zone: lodz-a\n", "", &["zone"]);
    duplicate_key_is_refused: ("zone: lodz-a", "zone: lodz-a\nzone: lodz-b", &["zone"]);
    duplicate_listen_address_is_refused: (":8200", ":8100", &["listen.operators", "twice"]);
    duplicate_peer_is_refused: ("['127.0.0.1:8301']", "['127.0.0.1:1', '127.0.0.1:1']", &["peers", "twice"]);
    duplicate_operator_key_is_refused: ("[op-secret]", "[op-secret, op-secret]", &["keys.operator", "key 2"]);
    key_shared_by_operators_and_peers_is_refused: ("[op-secret]", "[peer-secret]", &["keys"]);
    empty_key_is_refused: ("[peer-secret]", "['']", &["keys.peer", "key 1"]);
    absent_operator_keys_are_refused: ("[op-secret]", "[]", &["keys.operator"]);
    host_name_in_an_address_is_refused: ("127.0.0.1:8100", "localhost:8100", &["listen.callers"]);
    address_without_port_is_refused: ("'127.0.0.1:8301'", "'127.0.0.1'", &["peers", "IP:port"]);
    port_zero_is_refused: ("127.0.0.1:8300", "127.0.0.1:0", &["listen.peers"]);
    bad_url_is_refused: ("{table: 'http://127.0.0.1:8400'", "{table: '127.0.0.1:8400'", &["platform.table"]);
    url_of_another_scheme_is_refused: ("{table: 'http:", "{table: 'https:", &["platform.table"]);
    unknown_log_level_is_refused: ("level: info", "level: loud", &["log.level", "loud"]);
    huge_body_limit_is_refused: ("1048576", "1048576000", &["limits.body_bytes"]);
    zero_header_time_is_refused: ("header_s: 10", "header_s: 0", &["limits.header_s"]);
    zero_connections_are_refused: ("connections: 4096", "connections: 0", &["limits.connections"]);
    buffers_for_less_than_two_bodies_are_refused: ("4096}", "4096, buffer_bytes: 2097151}", &["limits.buffer_bytes", "2097152"]);
    few_open_connections_are_refused: ("4096}", "4096, open_connections: 15}", &["limits.open_connections", "16"]);
    few_connections_of_an_address_are_refused: ("4096}", "4096, address_connections: 0}", &["limits.address_connections"]);
    short_heads_are_refused: ("4096}", "4096, header_bytes: 8191}", &["limits.header_bytes", "8192"]);
    few_header_fields_are_refused: ("4096}", "4096, header_fields: 15}", &["limits.header_fields"]);
    more_header_fields_than_a_map_holds_are_refused: ("4096}", "4096, header_fields: 24577}", &["limits.header_fields"]);
    short_progress_period_is_refused: ("4096}", "4096, progress_s: 0.9}", &["limits.progress_s"]);
    zero_progress_is_refused: ("4096}", "4096, progress_bytes_per_s: 0}", &["limits.progress_bytes_per_s"]);
    long_settle_time_is_refused: ("settle_s: 10", "settle_s: 1000", &["settle_s"]);
    shutdown_limit_within_settle_time_is_refused: ("shutdown_limit_s: null", "shutdown_limit_s: 10", &["shutdown_limit_s"]);
    shutdown_limit_that_is_not_a_number_is_refused: ("shutdown_limit_s: null", "shutdown_limit_s: .nan", &["shutdown_limit_s"]);
    endless_settle_time_is_refused: ("settle_s: 10", "settle_s: .inf", &["settle_s"]);
    vm_with_a_slash_is_refused: ("vm: entry-1", "vm: entry/1", &["vm"]);
    negative_number_is_refused: ("header_s: 10", "header_s: -1", &["header_s"]);
}
