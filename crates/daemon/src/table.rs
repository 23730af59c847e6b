//! HTTP client for the platform's transactional table.

use std::time::Duration;

use bytes::Bytes;
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::peer::Delta;
use hornbeamloom_kernel::resource::Key;
use hornbeamloom_kernel::store::{Answer, Op};
use hornbeamloom_wire::etcd::{
    self, MalformedResponse, Range, RangeResponse, RequestOp, ResponseOp, Txn, TxnResponse,
};
use hornbeamloom_wire::manifest::{self, StoredResource};
use hornbeamloom_wire::table;

/// Timeout of one request to the platform; the bound is set in the design document.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for opening a connection; shorter than [`REQUEST_TIMEOUT`], so that a failed connect is
/// distinguished from a request without a response.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response in bytes; all resources at the two-year scale take less than 4 MiB.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The reason why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// The request had no effect: it was not sent, or it was rejected.
    Unavailable,
    /// The request may have taken effect.
    Unknown,
}

/// A client of the table.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    http: reqwest::Client,
    base: String,
}

/// Builds the HTTP client used for the platform's services.
pub(crate) fn http_client() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(REQUEST_TIMEOUT)
        .build()
}

impl Client {
    pub(crate) fn new(http: reqwest::Client, base: &str) -> Client {
        Client { http, base: base.trim_end_matches('/').to_owned() }
    }

    async fn post(&self, path: &str, body: Vec<u8>) -> Result<Bytes, RequestError> {
        let request = self
            .http
            .post(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(body);
        let response = request.send().await.map_err(|error| classify_error(&error))?;
        let status = response.status();
        if status.is_success() {
            return read_body(response).await;
        }
        count_failure("status");
        // A gateway may return a 5xx for a write that took effect; a 4xx is returned before any
        // effect.
        match status.is_server_error() {
            true => Err(RequestError::Unknown),
            false => Err(RequestError::Unavailable),
        }
    }

    /// Reads a range of keys; every failure is `Unavailable`, because a read has no effect.
    pub(crate) async fn range(&self, range: &Range) -> Result<RangeResponse, RequestError> {
        let body = etcd::encode_range(range);
        let bytes = self.post(etcd::RANGE_PATH, body).await;
        let bytes = bytes.map_err(|_| RequestError::Unavailable)?;
        etcd::decode_range_response(&bytes)
            .map_err(|error| report_malformed(error, RequestError::Unavailable))
    }

    /// Executes a transaction.
    pub(crate) async fn txn(&self, txn: &Txn) -> Result<TxnResponse, RequestError> {
        let bytes = self.post(etcd::TXN_PATH, etcd::encode_txn(txn)).await?;
        etcd::decode_txn_response(&bytes)
            .map_err(|error| report_malformed(error, RequestError::Unknown))
    }

    /// Executes a store operation of the kernel.
    pub(crate) async fn execute(&self, op: &Op) -> Answer {
        let (path, body) = table::encode_request(op);
        let answer = match self.post(path, body).await {
            Ok(bytes) => table::decode_answer(op, &bytes)
                .map_err(|error| report_malformed(error, RequestError::Unknown)),
            Err(error) => Err(error),
        };
        match (answer, op) {
            (Ok(answer), _) => answer,
            (Err(RequestError::Unknown), Op::Write(_)) => Answer::Unknown,
            (Err(_), _) => Answer::Unavailable,
        }
    }

    /// Reads the head revision, which is zero before the first resource is written.
    pub(crate) async fn head(&self) -> Result<Revision, RequestError> {
        let found = self.range(&Range::single(table::HEAD_PATH)).await?;
        let version = found.kvs.first().map_or(0, |pair| pair.mod_revision);
        Ok(Revision(version))
    }

    /// Reads the changes after `since` in one transaction, so that they are consistent.
    ///
    /// `requested` names a record whose current version is read as well.
    pub(crate) async fn changes(
        &self,
        since: Revision,
        requested: Option<&Key>,
    ) -> Result<Changes, RequestError> {
        let txn = Txn { success: read_steps(since, requested), ..Txn::default() };
        let decided = self.txn(&txn).await.map_err(|_| RequestError::Unavailable)?;
        Changes::from_results(since, &decided.responses)
            .map_err(|error| report_malformed(error, RequestError::Unavailable))
    }
}

/// Returns the read steps whose results [`Changes::from_results`] decodes.
pub(crate) fn read_steps(since: Revision, requested: Option<&Key>) -> Vec<RequestOp> {
    let resources = Range::prefix(table::RESOURCE_PREFIX).with_min_mod_revision(since.0 + 1);
    let requested = requested.map(|key| Range::single(&table::resource_path(key.kind, &key.name)));
    [Range::single(table::HEAD_PATH), resources]
        .into_iter()
        .chain(requested)
        .map(RequestOp::Range)
        .collect()
}

/// Resource changes read at one revision of the table.
#[derive(Debug)]
pub(crate) struct Changes {
    /// The revision after which changes were read.
    pub(crate) since: Revision,
    /// The head revision that the changes lead to.
    pub(crate) head: Revision,
    /// The changed resources.
    pub(crate) stored: Vec<StoredResource>,
    /// Table version of the requested record; zero if it does not exist.
    pub(crate) requested_version: Revision,
    /// The requested record, if it exists and can be decoded.
    pub(crate) requested: Option<StoredResource>,
}

impl Changes {
    /// Decodes the results of [`read_steps`]; records that cannot be decoded are logged, counted
    /// and skipped.
    pub(crate) fn from_results(
        since: Revision,
        responses: &[ResponseOp],
    ) -> Result<Changes, MalformedResponse> {
        let [ResponseOp::Range(head), ResponseOp::Range(resources), rest @ ..] = responses else {
            return Err(MalformedResponse("not the reads asked for"));
        };
        let requested = match rest {
            [ResponseOp::Range(found), ..] => found.kvs.first(),
            _ => None,
        };
        let changed = |pair: &&etcd::KeyValue| pair.mod_revision > since.0;
        Ok(Changes {
            since,
            head: Revision(head.kvs.first().map_or(0, |pair| pair.mod_revision)),
            stored: resources.kvs.iter().filter(changed).filter_map(decode_record).collect(),
            requested_version: Revision(requested.map_or(0, |pair| pair.mod_revision)),
            requested: requested.and_then(decode_record),
        })
    }

    /// Converts the changes to the kernel's form.
    pub(crate) fn to_delta(&self) -> Delta {
        let records = self.stored.iter().map(|stored| stored.record.clone());
        Delta {
            from: self.since,
            to: self.head,
            sequence: 0,
            complete: self.since == Revision(0),
            records: records.collect(),
        }
    }
}

fn decode_record(pair: &etcd::KeyValue) -> Option<StoredResource> {
    let Some(key) = table::parse_resource_path(&pair.key) else {
        report_ignored("resource_kind", &pair.key, "unknown kind");
        return None;
    };
    match manifest::decode_stored(&key, &pair.value, Revision(pair.mod_revision)) {
        Ok(stored) => Some(stored),
        Err(error) => {
            report_ignored("resource_corrupt", &pair.key, &error.to_string());
            None
        }
    }
}

fn report_ignored(input: &'static str, key: &str, problem: &str) {
    metrics::counter!("hornbeamloom_ignored_total", "input" => input).increment(1);
    log::warn!("ignored={input} key={key:?} problem={problem:?}");
}

fn report_malformed(malformed: MalformedResponse, error: RequestError) -> RequestError {
    count_failure("malformed");
    log::warn!("ignored=table_answer problem={:?}", malformed.0);
    error
}

fn classify_error(error: &reqwest::Error) -> RequestError {
    if error.is_connect() {
        count_failure("connect");
        return RequestError::Unavailable;
    }
    count_failure(if error.is_timeout() { "timeout" } else { "broken" });
    RequestError::Unknown
}

fn count_failure(reason: &'static str) {
    metrics::counter!("hornbeamloom_store_failures_total", "reason" => reason).increment(1);
}

/// Reads a response body of at most [`MAX_RESPONSE_BYTES`].
pub(crate) async fn read_body(mut response: reqwest::Response) -> Result<Bytes, RequestError> {
    let mut body = bytes::BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|error| classify_error(&error))? {
        if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
            count_failure("oversized");
            return Err(RequestError::Unknown);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
