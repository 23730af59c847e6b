//! Checks of settings beyond their syntax.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::map::Set;

use crate::settings::{Error, Settings};

/// Longest name of a VM or zone, in bytes.
const NAME_BYTES: usize = 63;

/// Longest key, in bytes.
const KEY_BYTES: usize = 256;

/// Accepted range of `limits.body_bytes`.
const BODY_BYTES: RangeInclusive<u64> = 1_024..=64 * 1024 * 1024;

/// Accepted range of `limits.header_s`, in seconds.
const HEADER_S: RangeInclusive<u64> = 1..=300;

/// Accepted range of `limits.connections`.
const CONNECTIONS: RangeInclusive<u64> = 1..=65_536;

/// Accepted range of `settle_s`, in seconds.
const SETTLE_S: RangeInclusive<u64> = 0..=600;

/// Accepted range of `shutdown_limit_s`, in seconds.
const SHUTDOWN_S: RangeInclusive<u64> = 1..=7 * 24 * 3_600;

/// Accepted log levels.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

type Checked = Result<(), Error>;

/// Checks everything that can be checked without binding or connecting.
pub(crate) fn settings(settings: &Settings) -> Checked {
    name("vm", &settings.vm)?;
    name("zone", &settings.zone)?;
    listen(settings)?;
    advertise(settings)?;
    peers(settings)?;
    url("platform.table", &settings.platform.table)?;
    url("platform.objects", &settings.platform.objects)?;
    url("platform.vms", &settings.platform.vms)?;
    keys("keys.operator", &settings.keys.operator)?;
    keys("keys.peer", &settings.keys.peer)?;
    if let Some(key) = settings.keys.operator.iter().find(|key| settings.keys.peer.contains(key)) {
        let length = key.len();
        let text = format!("a key of {length} bytes is listed for operators and for peers");
        return fault("keys", text);
    }
    if !LEVELS.contains(&settings.log.level.as_str()) {
        let text = format!("`{}` is none of {}", settings.log.level, LEVELS.join(", "));
        return fault("log.level", text);
    }
    range("settle_s", settings.settle_s, &SETTLE_S)?;
    range("limits.body_bytes", settings.limits.body_bytes, &BODY_BYTES)?;
    range("limits.header_s", settings.limits.header_s, &HEADER_S)?;
    range("limits.connections", settings.limits.connections as u64, &CONNECTIONS)?;
    if let Some(limit) = settings.shutdown_limit_s {
        range("shutdown_limit_s", limit, &SHUTDOWN_S)?;
        if limit <= settings.settle_s {
            let text = format!("{limit} s is not longer than settle_s");
            return fault("shutdown_limit_s", text);
        }
    }
    Ok(())
}

fn fault(field: &'static str, fault: String) -> Checked {
    Err(Error::Value { field, fault })
}

/// A request id and a table key contain these names, so their characters are restricted.
fn name(field: &'static str, name: &str) -> Checked {
    let is_plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    match !name.is_empty() && name.len() <= NAME_BYTES && name.bytes().all(is_plain) {
        true => Ok(()),
        false => fault(
            field,
            format!("`{name}` does not have 1 to {NAME_BYTES} of the characters a-z, 0-9 and -"),
        ),
    }
}

fn address(field: &'static str, address: &str) -> Result<SocketAddr, Error> {
    let parsed: Option<SocketAddr> = address.parse().ok();
    match parsed.filter(|parsed| parsed.port() != 0) {
        Some(parsed) => Ok(parsed),
        None => Err(Error::Value { field, fault: format!("`{address}` is not IP:port") }),
    }
}

fn listen(settings: &Settings) -> Checked {
    let listen = &settings.listen;
    let fields = [
        ("listen.callers", &listen.callers),
        ("listen.operators", &listen.operators),
        ("listen.peers", &listen.peers),
    ];
    let mut seen = Set::default();
    for (field, text) in fields {
        if !seen.insert(address(field, text)?) {
            return fault(field, format!("`{text}` is listed twice"));
        }
    }
    Ok(())
}

/// Others would reach the wrong adapter if both were the same.
fn advertise(settings: &Settings) -> Checked {
    let callers = address("advertise.callers", settings.caller_address())?;
    let peers = address("advertise.peers", settings.peer_address())?;
    match callers == peers {
        true => fault("advertise", format!("`{peers}` is told for callers and peers")),
        false => Ok(()),
    }
}

fn peers(settings: &Settings) -> Checked {
    let mut seen = Set::default();
    for peer in &settings.peers {
        if !seen.insert(address("peers", peer)?) {
            return fault("peers", format!("`{peer}` is listed twice"));
        }
    }
    Ok(())
}

fn url(field: &'static str, text: &Name) -> Checked {
    let is_usable = reqwest::Url::parse(text).is_ok_and(|url| {
        url.scheme() == "http"
            && url.host_str().is_some_and(|host| !host.is_empty())
            && url.username().is_empty()
            && url.query().is_none()
    });
    match is_usable {
        true => Ok(()),
        false => fault(field, format!("`{text}` is not a URL of the form http://HOST:PORT")),
    }
}

/// Keys are named by their position only.
fn keys(field: &'static str, keys: &[String]) -> Checked {
    if keys.is_empty() {
        return fault(field, "at least one key is needed".to_owned());
    }
    let mut seen = Set::default();
    for (number, key) in (1..).zip(keys) {
        let is_usable = !key.is_empty()
            && key.len() <= KEY_BYTES
            && key.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_usable {
            let text = format!("key {number} does not have 1 to {KEY_BYTES} printable characters");
            return fault(field, text);
        }
        if !seen.insert(key) {
            return fault(field, format!("key {number} is listed twice"));
        }
    }
    Ok(())
}

fn range(field: &'static str, value: u64, range: &RangeInclusive<u64>) -> Checked {
    match range.contains(&value) {
        true => Ok(()),
        false => {
            fault(field, format!("{value} is not between {} and {}", range.start(), range.end()))
        }
    }
}
