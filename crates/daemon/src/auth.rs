//! Authentication of callers and operators by their keys.

use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::intent::Intent;
use hornbeamloom_kernel::resource::Spec;
use subtle::ConstantTimeEq;
use warp::http::{header, HeaderMap};

/// The key in `Authorization: Bearer KEY`.
pub(crate) fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// The organisation that `key` belongs to.
///
/// Compares with every key in force, so that the time taken does not depend on which one matches.
pub fn organisation(intent: &Intent, key: &str) -> Option<Name> {
    let mut found = None;
    for record in intent.records() {
        let Some(Spec::Organisation(organisation)) = &record.spec else {
            continue;
        };
        for stored in &organisation.keys {
            if keys_match(stored, key) {
                found = Some(record.key.name.clone());
            }
        }
    }
    found
}

/// Whether `key` is one of `keys`; compares with every one of them.
pub(crate) fn contains_key(keys: &[String], key: &str) -> bool {
    keys.iter().fold(false, |found, stored| found | keys_match(stored, key))
}

fn keys_match(stored: &str, key: &str) -> bool {
    // An empty key in a resource must not admit requests that carry no key.
    !stored.is_empty() && bool::from(stored.as_bytes().ct_eq(key.as_bytes()))
}
