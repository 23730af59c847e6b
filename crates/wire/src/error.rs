//! The JSON body of an error response.

use hornbeamloom_kernel::outcome::Ran;
use serde::{Serialize, Serializer};

/// Why a request failed, in the form that callers receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ErrorBody<'a> {
    /// Broad class of the error, for example `rate_limit_error`.
    #[serde(rename = "type")]
    pub error_type: &'a str,
    /// Stable, machine-readable reason, for example `pool_queue`.
    pub reason: &'a str,
    /// Human-readable description, one sentence.
    pub message: &'a str,
    /// Id of the request.
    pub request_id: &'a str,
    /// Whether any part of the request has run; written as `not_run`: `true`, `false` or
    /// `"unknown"`.
    #[serde(rename = "not_run", serialize_with = "not_run")]
    pub ran: Ran,
    /// Time after which the caller may retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: &'a ErrorBody<'a>,
}

fn not_run<S: Serializer>(ran: &Ran, serializer: S) -> Result<S::Ok, S::Error> {
    match ran {
        Ran::No => serializer.serialize_bool(true),
        Ran::Yes => serializer.serialize_bool(false),
        Ran::Unknown => serializer.serialize_str("unknown"),
    }
}

/// Encodes the error as one line of JSON, `{"error": …}`.
///
/// ```
/// use hornbeamloom_kernel::outcome::Ran;
/// use hornbeamloom_wire::error::{to_json, ErrorBody};
///
/// let body = ErrorBody {
///     error_type: "rate_limit_error",
///     reason: "pool_queue",
///     message: "the queue is full",
///     request_id: "entry-1-1-1",
///     ran: Ran::No,
///     retry_after_ms: Some(250),
/// };
/// let text = to_json(&body);
/// assert!(text.starts_with(r#"{"error":{"type":"rate_limit_error""#));
/// assert!(text.contains(r#""not_run":true"#));
/// ```
pub fn to_json(body: &ErrorBody<'_>) -> String {
    serde_json::to_string(&Envelope { error: body }).expect("strings and numbers always serialise")
}
