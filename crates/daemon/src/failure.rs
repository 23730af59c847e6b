//! Typed failures of the operators' API.

use hornbeamloom_kernel::resource::Key;
use hornbeamloom_kernel::validate::FieldError;
use serde_json::{json, Value};
use warp::http::StatusCode;
use warp::reply::{Reply, Response};

use crate::write::Refusal;

/// An answer with an error status and a JSON body with a `reason`.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    status: StatusCode,
    reason: &'static str,
    body: Value,
}

impl Failure {
    /// A failure of which nothing was applied.
    pub(crate) fn new(status: StatusCode, reason: &'static str) -> Failure {
        Failure { status, reason, body: json!({"applied": false}) }
    }

    /// The same failure with another field in its body.
    pub(crate) fn with(mut self, field: &str, value: impl Into<Value>) -> Failure {
        self.body[field] = value.into();
        self
    }

    /// The same failure with a text for people.
    pub(crate) fn with_detail(self, detail: &str) -> Failure {
        self.with("detail", detail)
    }

    /// The answer; counts the refusal.
    pub(crate) fn into_response(mut self) -> Response {
        metrics::counter!("hornbeamloom_operator_refusals_total", "reason" => self.reason)
            .increment(1);
        self.body["reason"] = json!(self.reason);
        warp::reply::with_status(warp::reply::json(&self.body), self.status).into_response()
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Failure {
        let conflict = |reason| Failure::new(StatusCode::CONFLICT, reason);
        let unavailable = |reason| Failure::new(StatusCode::SERVICE_UNAVAILABLE, reason);
        match refusal {
            Refusal::Invalid(faults) => invalid(&faults),
            Refusal::TooLarge => Failure::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large")
                .with_detail("larger than 64 KiB"),
            Refusal::Malformed(text) => {
                Failure::new(StatusCode::BAD_REQUEST, "malformed").with_detail(&text)
            }
            Refusal::NotFound => Failure::new(StatusCode::NOT_FOUND, "not_found"),
            Refusal::Exists(version) => conflict("already_exists")
                .with_detail("the resource exists")
                .with("resourceVersion", version.0),
            Refusal::Conflict(version) => conflict("conflict")
                .with_detail(&format!("the current resourceVersion is {}", version.0))
                .with("resourceVersion", version.0),
            Refusal::InUse(users) => in_use(&users),
            Refusal::Contended => unavailable("contended"),
            Refusal::Unavailable => unavailable("store_unavailable"),
            Refusal::Regressed => unavailable("store_regressed"),
            Refusal::Unknown => {
                Failure::new(StatusCode::GATEWAY_TIMEOUT, "unknown").with("applied", "unknown")
            }
        }
    }
}

fn invalid(faults: &[FieldError]) -> Failure {
    let texts: Vec<String> = faults.iter().map(FieldError::to_string).collect();
    let list: Vec<Value> = faults
        .iter()
        .map(|fault| json!({"field": fault.field, "problem": fault.problem}))
        .collect();
    Failure::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid")
        .with_detail(&texts.join("; "))
        .with("faults", list)
}

fn in_use(users: &[Key]) -> Failure {
    let users: Vec<String> =
        users.iter().map(|key| format!("{}/{}", key.kind.plural(), key.name)).collect();
    Failure::new(StatusCode::CONFLICT, "in_use")
        .with_detail(&format!("used by {}", users.join(", ")))
        .with("usedBy", users)
}
