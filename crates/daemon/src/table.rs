//! The platform's transactional table over HTTP.

use std::time::Duration;

use bytes::Bytes;
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::peer::Delta;
use hornbeamloom_kernel::resource::Key;
use hornbeamloom_kernel::store::{Answer, Op};
use hornbeamloom_wire::etcd::{self, Decided, Done, Found, Malformed, Range, Step, Txn};
use hornbeamloom_wire::manifest::{self, Stored};
use hornbeamloom_wire::table;

/// Time for one exchange with the table: the bound of the design page.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to open a connection, short enough that a failed connect is known before the deadline.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer in bytes: all resources at the two-year scale are under 4 MiB.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// An exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// It had no effect: nothing was sent, or it was refused.
    Unavailable,
    /// The request may have taken effect.
    Unknown,
}

/// A client of one HTTP service of the platform.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    http: reqwest::Client,
    base: String,
}

/// An HTTP client for the platform's services.
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
        // A gateway's 5xx may follow a write that took effect; a 4xx is refused before that.
        match status.is_server_error() {
            true => Err(RequestError::Unknown),
            false => Err(RequestError::Unavailable),
        }
    }

    /// Reads; any failure is `Unavailable`, because a read has no effect.
    pub(crate) async fn range(&self, range: &Range) -> Result<Found, RequestError> {
        let body = etcd::range_body(range);
        let bytes = self.post(etcd::RANGE_PATH, body).await;
        let bytes = bytes.map_err(|_| RequestError::Unavailable)?;
        etcd::read_range(&bytes).map_err(|error| report_malformed(error, RequestError::Unavailable))
    }

    /// Carries out a transaction.
    pub(crate) async fn txn(&self, txn: &Txn) -> Result<Decided, RequestError> {
        let bytes = self.post(etcd::TXN_PATH, etcd::txn_body(txn)).await?;
        etcd::read_txn(&bytes).map_err(|error| report_malformed(error, RequestError::Unknown))
    }

    /// Carries out one of the kernel's operations.
    pub(crate) async fn execute(&self, op: &Op) -> Answer {
        let (path, body) = table::request(op);
        let answer = match self.post(path, body).await {
            Ok(bytes) => table::answer(op, &bytes)
                .map_err(|error| report_malformed(error, RequestError::Unknown)),
            Err(error) => Err(error),
        };
        match (answer, op) {
            (Ok(answer), _) => answer,
            (Err(RequestError::Unknown), Op::Write(_)) => Answer::Unknown,
            (Err(_), _) => Answer::Unavailable,
        }
    }

    /// The revision of the head; zero before the first resource.
    pub(crate) async fn head(&self) -> Result<Revision, RequestError> {
        let found = self.range(&Range::one(table::HEAD)).await?;
        let version = found.pairs.first().map_or(0, |pair| pair.version);
        Ok(Revision(version))
    }

    /// Reads the changes after a revision, consistent at one revision of the table.
    ///
    /// `requested` is a record whose present version is wanted as well.
    pub(crate) async fn changes(
        &self,
        since: Revision,
        requested: Option<&Key>,
    ) -> Result<Changes, RequestError> {
        let txn = Txn { success: read_steps(since, requested), ..Txn::default() };
        let decided = self.txn(&txn).await.map_err(|_| RequestError::Unavailable)?;
        Changes::from_results(since, &decided.steps)
            .map_err(|error| report_malformed(error, RequestError::Unavailable))
    }
}

/// The steps whose results [`Changes::from_results`] takes.
pub(crate) fn read_steps(since: Revision, requested: Option<&Key>) -> Vec<Step> {
    let resources = Range::prefix(table::RESOURCES).with_modified_since(since.0 + 1);
    let requested = requested.map(|key| Range::one(&table::resource_path(key.kind, &key.name)));
    [Range::one(table::HEAD), resources].into_iter().chain(requested).map(Step::Range).collect()
}

/// Changes of resources as the table has them at one revision.
#[derive(Debug)]
pub(crate) struct Changes {
    /// The revision before them.
    pub(crate) since: Revision,
    /// The configuration revision reached.
    pub(crate) head: Revision,
    /// The changed resources.
    pub(crate) stored: Vec<Stored>,
    /// Table version of the record asked for; zero if it does not exist.
    pub(crate) requested_version: Revision,
    /// The record asked for, if it can be understood.
    pub(crate) requested: Option<Stored>,
}

impl Changes {
    /// Reads the results of [`read_steps`]; records that cannot be understood are counted and
    /// left out.
    pub(crate) fn from_results(since: Revision, steps: &[Done]) -> Result<Changes, Malformed> {
        let [Done::Range(head), Done::Range(resources), rest @ ..] = steps else {
            return Err(Malformed("not the reads asked for"));
        };
        let requested = match rest {
            [Done::Range(found), ..] => found.pairs.first(),
            _ => None,
        };
        let changed = |pair: &&etcd::Pair| pair.version > since.0;
        Ok(Changes {
            since,
            head: Revision(head.pairs.first().map_or(0, |pair| pair.version)),
            stored: resources.pairs.iter().filter(changed).filter_map(decode_record).collect(),
            requested_version: Revision(requested.map_or(0, |pair| pair.version)),
            requested: requested.and_then(decode_record),
        })
    }

    /// The same changes as the kernel takes them.
    pub(crate) fn to_delta(&self) -> Delta {
        let records = self.stored.iter().map(|stored| stored.record.clone());
        Delta {
            from: self.since,
            to: self.head,
            complete: self.since == Revision(0),
            records: records.collect(),
        }
    }
}

fn decode_record(pair: &etcd::Pair) -> Option<Stored> {
    let Some(key) = table::read_resource_path(&pair.key) else {
        report_ignored("resource_kind", &pair.key, "unknown kind");
        return None;
    };
    match manifest::read_stored(&key, &pair.value, Revision(pair.version)) {
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

fn report_malformed(malformed: Malformed, error: RequestError) -> RequestError {
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

/// Reads a bounded body.
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
