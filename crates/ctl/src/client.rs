//! HTTP client of the resource API.

use std::time::Duration;

use reqwest::{Method, StatusCode};
use serde_json::Value;

/// Limit for opening a connection to the daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit for one request with its response. A daemon takes up to 8 s for a write whose responses
/// from the store are lost.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time without data on a connection. Daemons send a bookmark every 5 s on a watch, so a
/// longer gap means that its connection is broken.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// A client of one daemon's operator address.
#[derive(Debug, Clone)]
pub struct Client {
    server: String,
    key: String,
}

impl Client {
    /// Creates a client of the daemon at a base URL, without an operator key.
    ///
    /// ```
    /// let client = hornbeamloom_ctl::client::Client::new("http://127.0.0.1:8200");
    /// assert_eq!(client.server(), "http://127.0.0.1:8200");
    /// ```
    pub fn new(server: &str) -> Client {
        Client { server: server.trim_end_matches('/').to_owned(), key: String::new() }
    }

    /// Sets the operator key.
    ///
    /// ```
    /// let client = hornbeamloom_ctl::client::Client::new("http://127.0.0.1:8200").with_key("op");
    /// assert_eq!(client.server(), "http://127.0.0.1:8200");
    /// ```
    pub fn with_key(self, key: &str) -> Client {
        Client { key: key.to_owned(), ..self }
    }

    /// The base URL of the daemon.
    pub fn server(&self) -> &str {
        &self.server
    }

    /// The operator key; empty if none was set.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Reads a path below `/apis/v1/`.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if the request fails, [`Error::Refused`] if its status is an error.
    pub async fn read(&self, path: &str) -> Result<Value, Error> {
        let request = self.request(Method::GET, path)?.timeout(REQUEST_TIMEOUT);
        let response = request.send().await?;
        let status = response.status();
        parse_response(status, &response.bytes().await?)
    }

    /// Sends a change to a path below `/apis/v1/`.
    ///
    /// # Errors
    ///
    /// [`Error::OutcomeUnknown`] if the change may have been applied, otherwise as for
    /// [`Client::read`].
    pub async fn write(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, Error> {
        let request = self.request(method, path)?.timeout(REQUEST_TIMEOUT);
        let request = match body {
            Some(body) => request.json(body),
            None => request,
        };
        let response = request.send().await.map_err(write_error)?;
        let status = response.status();
        parse_response(status, &response.bytes().await.map_err(write_error)?)
    }

    /// Opens a watch below `/apis/v1/`.
    ///
    /// # Errors
    ///
    /// As for [`Client::read`].
    pub async fn watch(&self, path: &str) -> Result<reqwest::Response, Error> {
        let response = self.request(Method::GET, path)?.send().await?;
        match response.status().is_success() {
            true => Ok(response),
            false => {
                let status = response.status();
                parse_response(status, &response.bytes().await?)?;
                Err(malformed_response(status))
            }
        }
    }

    fn request(&self, method: Method, path: &str) -> Result<reqwest::RequestBuilder, Error> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(READ_TIMEOUT)
            .build()?;
        let url = format!("{}/apis/v1/{path}", self.server);
        Ok(http.request(method, url).bearer_auth(&self.key))
    }
}

/// Classifies the failure of a write: it was certainly not applied only if no connection was
/// opened.
fn write_error(error: reqwest::Error) -> Error {
    match error.is_connect() || error.is_builder() {
        true => Error::Connect(error),
        false => Error::OutcomeUnknown(error),
    }
}

fn parse_response(status: StatusCode, bytes: &[u8]) -> Result<Value, Error> {
    let value: Value = serde_json::from_slice(bytes).map_err(|_| malformed_response(status))?;
    if status.is_success() {
        return Ok(value);
    }
    let text = |field: &str| value[field].as_str().unwrap_or_default().to_owned();
    Err(Error::Refused { status: status.as_u16(), reason: text("reason"), detail: text("detail") })
}

fn malformed_response(status: StatusCode) -> Error {
    Error::Refused {
        status: status.as_u16(),
        reason: "malformed".to_owned(),
        detail: "the response is not from a hornbeamloom daemon".to_owned(),
    }
}

/// Why a subcommand failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The command line or an input file is invalid.
    #[error("{0}")]
    Usage(String),
    /// The daemon could not be reached.
    #[error("cannot reach the daemon: {0}")]
    Connect(#[from] reqwest::Error),
    /// There was no response to a change, which may have been applied.
    #[error("no response; the change may have been applied: {0}")]
    OutcomeUnknown(reqwest::Error),
    /// An accepted change was not in force at every VM before the time-out.
    #[error("accepted, but not yet in force at: {0}")]
    NotInForce(String),
    /// A resource file differs from the resources in force, in this number of resources.
    #[error("differs in {0} resources")]
    Differs(usize),
    /// A file could not be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The daemon refused the request, or its response is malformed.
    #[error("{status} {reason}: {detail}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Machine-readable reason.
        reason: String,
        /// Explanation for people.
        detail: String,
    },
}

impl Error {
    /// The process exit status: 1 a difference, 2 usage or file, 3 unreachable, 4 refused, 5 conflict, 6 unknown
    /// outcome or not in force in time.
    ///
    /// ```
    /// use hornbeamloom_ctl::client::Error;
    ///
    /// let refused =
    ///     |status| Error::Refused { status, reason: String::new(), detail: String::new() };
    /// assert_eq!(refused(409).exit_status(), 5);
    /// assert_eq!(refused(503).exit_status(), 4);
    /// ```
    pub fn exit_status(&self) -> u8 {
        match self {
            Error::Differs(_) => 1,
            Error::Usage(_) | Error::File { .. } => 2,
            Error::Connect(_) => 3,
            Error::OutcomeUnknown(_) | Error::NotInForce(_) => 6,
            Error::Refused { status: 409, .. } => 5,
            Error::Refused { status: 504, .. } => 6,
            Error::Refused { .. } => 4,
        }
    }
}
