//! Semantic validation of settings.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::map::Set;

use crate::settings::{Error, Limits, Settings};

/// Maximum length of a VM or zone name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Maximum length of an access key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Accepted range of `limits.body_bytes`.
const BODY_BYTES_RANGE: RangeInclusive<u64> = 1_024..=64 * 1024 * 1024;

/// Upper limit of `limits.buffer_bytes`.
const MAX_BUFFER_BYTES: u64 = 1 << 40;

/// Accepted range of `limits.header_s`, in seconds.
const HEADER_S_RANGE: RangeInclusive<f64> = 1.0..=300.0;

/// Accepted range of `limits.connections`.
const CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=65_536;

/// Accepted range of `limits.open_connections` and `limits.address_connections`.
const OPEN_CONNECTIONS_RANGE: RangeInclusive<u64> = 16..=1_000_000;

/// Accepted range of `limits.header_bytes`; the HTTP library needs a buffer of 8 KiB.
const HEADER_BYTES_RANGE: RangeInclusive<u64> = 8_192..=1_048_576;

/// Accepted range of `limits.header_fields`; the HTTP library represents no more.
const HEADER_FIELDS_RANGE: RangeInclusive<u64> = 16..=24_576;

/// Accepted range of `limits.progress_s`, in seconds.
const PROGRESS_S_RANGE: RangeInclusive<f64> = 1.0..=300.0;

/// Accepted range of `limits.progress_bytes_per_s`.
const PROGRESS_RATE_RANGE: RangeInclusive<u64> = 1..=1_048_576;

/// Accepted range of `settle_s`, in seconds.
const SETTLE_S_RANGE: RangeInclusive<f64> = 0.0..=600.0;

/// Accepted range of `shutdown_limit_s`, in seconds.
const SHUTDOWN_LIMIT_S_RANGE: RangeInclusive<f64> = 1.0..=604_800.0;

const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

type CheckResult = Result<(), Error>;

/// Performs all checks that need neither a listening socket nor a connection.
pub(crate) fn check_settings(settings: &Settings) -> CheckResult {
    check_name("vm", &settings.vm)?;
    check_name("zone", &settings.zone)?;
    check_listen(settings)?;
    check_advertise(settings)?;
    check_peers(settings)?;
    check_url("platform.table", &settings.platform.table)?;
    check_url("platform.objects", &settings.platform.objects)?;
    check_url("platform.vms", &settings.platform.vms)?;
    check_keys("keys.operator", &settings.keys.operator)?;
    check_keys("keys.peer", &settings.keys.peer)?;
    if let Some(key) = settings.keys.operator.iter().find(|key| settings.keys.peer.contains(key)) {
        let length = key.len();
        let text = format!("a key of {length} bytes is listed both for operators and for peers");
        return invalid("keys", text);
    }
    if !LOG_LEVELS.contains(&settings.log.level.as_str()) {
        let text = format!("`{}` is not one of {}", settings.log.level, LOG_LEVELS.join(", "));
        return invalid("log.level", text);
    }
    check_range("settle_s", settings.settle_s, &SETTLE_S_RANGE)?;
    check_range("limits.body_bytes", settings.limits.body_bytes, &BODY_BYTES_RANGE)?;
    check_range("limits.header_s", settings.limits.header_s, &HEADER_S_RANGE)?;
    check_range("limits.connections", settings.limits.connections as u64, &CONNECTIONS_RANGE)?;
    if let Some(bytes) = settings.limits.buffer_bytes {
        // A body and the response to it may be buffered at the same time.
        let range = 2 * settings.limits.body_bytes..=MAX_BUFFER_BYTES;
        check_range("limits.buffer_bytes", bytes, &range)?;
    }
    check_client_limits(&settings.limits)?;
    if let Some(limit) = settings.shutdown_limit_s {
        check_range("shutdown_limit_s", limit, &SHUTDOWN_LIMIT_S_RANGE)?;
        if limit <= settings.settle_s {
            let text = format!("{limit} s must be longer than settle_s");
            return invalid("shutdown_limit_s", text);
        }
    }
    Ok(())
}

fn check_client_limits(limits: &Limits) -> CheckResult {
    if let Some(connections) = limits.open_connections {
        check_range("limits.open_connections", connections as u64, &OPEN_CONNECTIONS_RANGE)?;
    }
    if let Some(connections) = limits.address_connections {
        check_range("limits.address_connections", connections as u64, &OPEN_CONNECTIONS_RANGE)?;
    }
    check_range("limits.header_bytes", limits.header_bytes as u64, &HEADER_BYTES_RANGE)?;
    check_range("limits.header_fields", limits.header_fields as u64, &HEADER_FIELDS_RANGE)?;
    check_range("limits.progress_s", limits.progress_s, &PROGRESS_S_RANGE)?;
    check_range("limits.progress_bytes_per_s", limits.progress_bytes_per_s, &PROGRESS_RATE_RANGE)
}

fn invalid(field: &'static str, problem: String) -> CheckResult {
    Err(Error::Value { field, problem })
}

/// Restricts the characters of a name, since request ids and table keys contain it.
fn check_name(field: &'static str, name: &str) -> CheckResult {
    let is_plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    match !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_plain) {
        true => Ok(()),
        false => invalid(
            field,
            format!(
                "`{name}` must consist of 1 to {MAX_NAME_BYTES} characters from a-z, 0-9 and -"
            ),
        ),
    }
}

fn parse_address(field: &'static str, address: &str) -> Result<SocketAddr, Error> {
    let parsed: Option<SocketAddr> = address.parse().ok();
    match parsed.filter(|parsed| parsed.port() != 0) {
        Some(parsed) => Ok(parsed),
        None => {
            Err(Error::Value { field, problem: format!("`{address}` is not of the form IP:port") })
        }
    }
}

fn check_listen(settings: &Settings) -> CheckResult {
    let listen = &settings.listen;
    let fields = [
        ("listen.callers", &listen.callers),
        ("listen.operators", &listen.operators),
        ("listen.peers", &listen.peers),
    ];
    let mut seen = Set::default();
    for (field, text) in fields {
        if !seen.insert(parse_address(field, text)?) {
            return invalid(field, format!("`{text}` is listed twice"));
        }
    }
    Ok(())
}

/// Rejects equal addresses for callers and peers: other VMs would reach the wrong adapter.
fn check_advertise(settings: &Settings) -> CheckResult {
    let callers = parse_address("advertise.callers", settings.caller_address())?;
    let peers = parse_address("advertise.peers", settings.peer_address())?;
    match callers == peers {
        true => {
            invalid("advertise", format!("`{peers}` is advertised both for callers and for peers"))
        }
        false => Ok(()),
    }
}

fn check_peers(settings: &Settings) -> CheckResult {
    let mut seen = Set::default();
    for peer in &settings.peers {
        if !seen.insert(parse_address("peers", peer)?) {
            return invalid("peers", format!("`{peer}` is listed twice"));
        }
    }
    Ok(())
}

fn check_url(field: &'static str, text: &Name) -> CheckResult {
    let is_usable = reqwest::Url::parse(text).is_ok_and(|url| {
        url.scheme() == "http"
            && url.host_str().is_some_and(|host| !host.is_empty())
            && url.username().is_empty()
            && url.query().is_none()
    });
    match is_usable {
        true => Ok(()),
        false => invalid(field, format!("`{text}` is not a URL of the form http://HOST:PORT")),
    }
}

/// Identifies a key in messages by its position only, so that no key reaches the log.
fn check_keys(field: &'static str, keys: &[String]) -> CheckResult {
    if keys.is_empty() {
        return invalid(field, "at least one key is required".to_owned());
    }
    let mut seen = Set::default();
    for (number, key) in (1..).zip(keys) {
        let is_usable = !key.is_empty()
            && key.len() <= MAX_KEY_BYTES
            && key.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_usable {
            let text =
                format!("key {number} must consist of 1 to {MAX_KEY_BYTES} printable characters");
            return invalid(field, text);
        }
        if !seen.insert(key) {
            return invalid(field, format!("key {number} is listed twice"));
        }
    }
    Ok(())
}

fn check_range<T: PartialOrd + Display>(
    field: &'static str,
    value: T,
    range: &RangeInclusive<T>,
) -> CheckResult {
    match range.contains(&value) {
        true => Ok(()),
        false => {
            invalid(field, format!("{value} is not between {} and {}", range.start(), range.end()))
        }
    }
}
