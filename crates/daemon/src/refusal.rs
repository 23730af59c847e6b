//! HTTP error responses for refusals of the kernel and for errors found by the adapter.

use hornbeamloom_kernel::outcome::{Ran, Reason, Refusal};
use hornbeamloom_wire::error;
use warp::http::{header, HeaderValue, StatusCode};
use warp::reply::Response;

/// Header that carries the request id in both directions.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Retry advice for refusals that do not contain their own, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// An error as it is reported to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ErrorResponse {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) message: &'static str,
    pub(crate) ran: Ran,
    pub(crate) retry_after_ms: Option<u64>,
}

impl ErrorResponse {
    /// An error found before anything ran.
    pub(crate) fn new(
        status: StatusCode,
        reason: &'static str,
        message: &'static str,
    ) -> ErrorResponse {
        ErrorResponse { status, reason, message, ran: Ran::No, retry_after_ms: None }
    }

    /// Replaces the statement about what ran.
    pub(crate) fn with_ran(self, ran: Ran) -> ErrorResponse {
        ErrorResponse { ran, ..self }
    }

    /// Adds advice on when to retry.
    pub(crate) fn with_retry_after(self, ms: u64) -> ErrorResponse {
        ErrorResponse { retry_after_ms: Some(ms), ..self }
    }

    /// The error as JSON text.
    pub(crate) fn json_body(&self, request_id: &str) -> String {
        error::to_json(&error::ErrorBody {
            error_type: error_type(self.status),
            reason: self.reason,
            message: self.message,
            request_id,
            ran: self.ran,
            retry_after_ms: self.retry_after_ms,
        })
    }

    /// The error as an HTTP response.
    pub(crate) fn http_response(&self, request_id: &str) -> Response {
        let mut response = Response::new(self.json_body(request_id).into());
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(ms) = self.retry_after_ms {
            headers.insert(header::RETRY_AFTER, ms.div_ceil(1_000).max(1).into());
        }
        response
    }
}

impl From<&Refusal> for ErrorResponse {
    fn from(refusal: &Refusal) -> ErrorResponse {
        let (status, message) = status_and_message(refusal.reason);
        let is_retryable =
            matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE);
        ErrorResponse {
            status,
            reason: refusal.reason.as_str(),
            message,
            ran: refusal.ran,
            retry_after_ms: refusal
                .retry_after_ms
                .or(is_retryable.then_some(DEFAULT_RETRY_AFTER_MS)),
        }
    }
}

fn status_and_message(reason: Reason) -> (StatusCode, &'static str) {
    match reason {
        Reason::NotFound => (StatusCode::NOT_FOUND, "no such service"),
        Reason::OrganisationQueue => {
            (StatusCode::TOO_MANY_REQUESTS, "the organisation's queue is full")
        }
        Reason::PoolQueue => (StatusCode::TOO_MANY_REQUESTS, "the queue of the service is full"),
        Reason::Busy => (StatusCode::TOO_MANY_REQUESTS, "no target can start the request now"),
        Reason::QueueDeadline => (StatusCode::TOO_MANY_REQUESTS, "the request would wait too long"),
        Reason::RateLimited => {
            (StatusCode::TOO_MANY_REQUESTS, "the targets take no more requests at present")
        }
        Reason::NoTarget => (StatusCode::SERVICE_UNAVAILABLE, "no target can take the request"),
        Reason::Quarantined => {
            (StatusCode::UNPROCESSABLE_ENTITY, "targets crashed while they ran this body")
        }
        Reason::StoreUnavailable => {
            (StatusCode::SERVICE_UNAVAILABLE, "the call cannot be registered to run at most once")
        }
        Reason::InProgress => {
            (StatusCode::CONFLICT, "a call with this idempotency key is in progress")
        }
        Reason::KeyReused => {
            (StatusCode::UNPROCESSABLE_ENTITY, "the idempotency key was used with another body")
        }
        Reason::OutcomeUnknown => {
            (StatusCode::BAD_GATEWAY, "an attempt may have run and its outcome is unknown")
        }
        Reason::RetryBudget => {
            (StatusCode::SERVICE_UNAVAILABLE, "the target failed and retries are used up")
        }
        Reason::TargetFailed => (StatusCode::BAD_GATEWAY, "the target failed during the answer"),
        Reason::TooLarge => {
            (StatusCode::PAYLOAD_TOO_LARGE, "the prompt fits no target of the service")
        }
        Reason::KeyUnconfirmed => {
            (StatusCode::SERVICE_UNAVAILABLE, "this VM cannot tell whether the key still holds")
        }
        Reason::ShuttingDown => (StatusCode::SERVICE_UNAVAILABLE, "this VM is shutting down"),
    }
}

/// The error type of a status in the OpenAI protocol.
fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::NOT_FOUND => "not_found_error",
        StatusCode::CONFLICT => "conflict_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_server_error() => "server_error",
        _ => "invalid_request_error",
    }
}
