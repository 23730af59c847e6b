//! Error responses of the operators' API.

use hornbeamloom_kernel::resource::Key;
use hornbeamloom_kernel::validate::FieldError;
use serde_json::{json, Value};
use warp::http::StatusCode;
use warp::reply::{Reply, Response};

use crate::write::WriteError;

/// An error response: a status and a JSON body with a `reason`.
#[derive(Debug, Clone)]
pub(crate) struct ApiError {
    status: StatusCode,
    reason: &'static str,
    body: Value,
}

impl ApiError {
    /// Creates an error for a request that had no effect.
    pub(crate) fn new(status: StatusCode, reason: &'static str) -> ApiError {
        ApiError { status, reason, body: json!({"applied": false}) }
    }

    /// Adds a field to the body.
    pub(crate) fn with_field(mut self, field: &str, value: impl Into<Value>) -> ApiError {
        self.body[field] = value.into();
        self
    }

    /// Adds a human-readable description.
    pub(crate) fn with_detail(self, detail: &str) -> ApiError {
        self.with_field("detail", detail)
    }

    /// Converts the error to a response and counts it in the metrics.
    pub(crate) fn into_response(mut self) -> Response {
        metrics::counter!("hornbeamloom_operator_refusals_total", "reason" => self.reason)
            .increment(1);
        self.body["reason"] = json!(self.reason);
        warp::reply::with_status(warp::reply::json(&self.body), self.status).into_response()
    }
}

impl From<WriteError> for ApiError {
    fn from(error: WriteError) -> ApiError {
        let conflict = |reason| ApiError::new(StatusCode::CONFLICT, reason);
        let unavailable = |reason| ApiError::new(StatusCode::SERVICE_UNAVAILABLE, reason);
        match error {
            WriteError::Invalid(faults) => invalid(&faults),
            WriteError::TooLarge => ApiError::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large")
                .with_detail("larger than 64 KiB"),
            WriteError::Malformed(text) => {
                ApiError::new(StatusCode::BAD_REQUEST, "malformed").with_detail(&text)
            }
            WriteError::NotFound => ApiError::new(StatusCode::NOT_FOUND, "not_found"),
            WriteError::AlreadyExists(version) => conflict("already_exists")
                .with_detail("the resource exists")
                .with_field("resourceVersion", version.0),
            WriteError::VersionConflict(version) => conflict("conflict")
                .with_detail(&format!("the current resourceVersion is {}", version.0))
                .with_field("resourceVersion", version.0),
            WriteError::InUse(referrers) => in_use(&referrers),
            WriteError::Contended => unavailable("contended"),
            WriteError::TableUnavailable => unavailable("store_unavailable"),
            WriteError::TableRegressed => unavailable("store_regressed"),
            WriteError::OutcomeUnknown => ApiError::new(StatusCode::GATEWAY_TIMEOUT, "unknown")
                .with_field("applied", "unknown"),
        }
    }
}

fn invalid(faults: &[FieldError]) -> ApiError {
    let texts: Vec<String> = faults.iter().map(FieldError::to_string).collect();
    let entries: Vec<Value> = faults
        .iter()
        .map(|fault| json!({"field": fault.field, "problem": fault.problem}))
        .collect();
    ApiError::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid")
        .with_detail(&texts.join("; "))
        .with_field("faults", entries)
}

fn in_use(referrers: &[Key]) -> ApiError {
    let referrers: Vec<String> =
        referrers.iter().map(|key| format!("{}/{}", key.kind.plural(), key.name)).collect();
    ApiError::new(StatusCode::CONFLICT, "in_use")
        .with_detail(&format!("used by {}", referrers.join(", ")))
        .with_field("usedBy", referrers)
}
