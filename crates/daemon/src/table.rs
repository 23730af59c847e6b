//! The platform's transactional table over HTTP.

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

/// Time for one exchange with the table: the bound of the design page.
pub(crate) const DEADLINE: Duration = Duration::from_secs(2);
/// Time to open a connection, short enough that a failed connect is known before the deadline.
const CONNECT: Duration = Duration::from_secs(1);
/// Largest answer in bytes: all resources at the two-year scale are under 4 MiB.
const ANSWER_MAX: usize = 64 << 20;

/// An exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
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
pub(crate) fn http() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder().no_proxy().connect_timeout(CONNECT).timeout(DEADLINE).build()
}

impl Client {
    pub(crate) fn new(http: reqwest::Client, base: &str) -> Client {
        Client { http, base: base.trim_end_matches('/').to_owned() }
    }

    async fn post(&self, path: &str, body: Vec<u8>) -> Result<Bytes, Failure> {
        let request = self
            .http
            .post(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(body);
        let response = request.send().await.map_err(|error| classify(&error))?;
        let status = response.status();
        if status.is_success() {
            return collect(response).await;
        }
        count("status");
        // A gateway's 5xx may follow a write that took effect; a 4xx is refused before that.
        match status.is_server_error() {
            true => Err(Failure::Unknown),
            false => Err(Failure::Unavailable),
        }
    }

    /// Reads; any failure is `Unavailable`, because a read has no effect.
    pub(crate) async fn range(&self, range: &Range) -> Result<RangeResponse, Failure> {
        let body = etcd::encode_range(range);
        let bytes = self.post(etcd::RANGE_PATH, body).await;
        let bytes = bytes.map_err(|_| Failure::Unavailable)?;
        etcd::decode_range_response(&bytes).map_err(|error| malformed(error, Failure::Unavailable))
    }

    /// Carries out a transaction.
    pub(crate) async fn txn(&self, txn: &Txn) -> Result<TxnResponse, Failure> {
        let bytes = self.post(etcd::TXN_PATH, etcd::encode_txn(txn)).await?;
        etcd::decode_txn_response(&bytes).map_err(|error| malformed(error, Failure::Unknown))
    }

    /// Carries out one of the kernel's operations.
    pub(crate) async fn carry_out(&self, op: &Op) -> Answer {
        let (path, body) = table::encode_request(op);
        let answer = match self.post(path, body).await {
            Ok(bytes) => {
                table::decode_answer(op, &bytes).map_err(|error| malformed(error, Failure::Unknown))
            }
            Err(failure) => Err(failure),
        };
        match (answer, op) {
            (Ok(answer), _) => answer,
            (Err(Failure::Unknown), Op::Write(_)) => Answer::Unknown,
            (Err(_), _) => Answer::Unavailable,
        }
    }

    /// The revision of the head; zero before the first resource.
    pub(crate) async fn head(&self) -> Result<Revision, Failure> {
        let found = self.range(&Range::single(table::HEAD_PATH)).await?;
        let version = found.kvs.first().map_or(0, |pair| pair.mod_revision);
        Ok(Revision(version))
    }

    /// Reads the changes after a revision, consistent at one revision of the table.
    ///
    /// `own` is a record whose present version is wanted as well.
    pub(crate) async fn changes(
        &self,
        since: Revision,
        own: Option<&Key>,
    ) -> Result<Changes, Failure> {
        let txn = Txn { success: read_steps(since, own), ..Txn::default() };
        let decided = self.txn(&txn).await.map_err(|_| Failure::Unavailable)?;
        Changes::read(since, &decided.responses)
            .map_err(|error| malformed(error, Failure::Unavailable))
    }
}

/// The steps whose results [`Changes::read`] takes.
pub(crate) fn read_steps(since: Revision, own: Option<&Key>) -> Vec<RequestOp> {
    let resources = Range::prefix(table::RESOURCE_PREFIX).with_min_mod_revision(since.0 + 1);
    let own = own.map(|key| Range::single(&table::resource_path(key.kind, &key.name)));
    [Range::single(table::HEAD_PATH), resources]
        .into_iter()
        .chain(own)
        .map(RequestOp::Range)
        .collect()
}

/// Changes of resources as the table has them at one revision.
#[derive(Debug)]
pub(crate) struct Changes {
    /// The revision before them.
    pub(crate) since: Revision,
    /// The configuration revision reached.
    pub(crate) head: Revision,
    /// The changed resources.
    pub(crate) stored: Vec<StoredResource>,
    /// Table version of the record asked for; zero if it does not exist.
    pub(crate) own_version: Revision,
    /// The record asked for, if it can be understood.
    pub(crate) own: Option<StoredResource>,
}

impl Changes {
    /// Reads the results of [`read_steps`]; records that cannot be understood are counted and
    /// left out.
    pub(crate) fn read(
        since: Revision,
        responses: &[ResponseOp],
    ) -> Result<Changes, MalformedResponse> {
        let [ResponseOp::Range(head), ResponseOp::Range(resources), rest @ ..] = responses else {
            return Err(MalformedResponse("not the reads asked for"));
        };
        let own = match rest {
            [ResponseOp::Range(found), ..] => found.kvs.first(),
            _ => None,
        };
        let changed = |pair: &&etcd::KeyValue| pair.mod_revision > since.0;
        Ok(Changes {
            since,
            head: Revision(head.kvs.first().map_or(0, |pair| pair.mod_revision)),
            stored: resources.kvs.iter().filter(changed).filter_map(read).collect(),
            own_version: Revision(own.map_or(0, |pair| pair.mod_revision)),
            own: own.and_then(read),
        })
    }

    /// The same changes as the kernel takes them.
    pub(crate) fn delta(&self) -> Delta {
        let records = self.stored.iter().map(|stored| stored.record.clone());
        Delta {
            from: self.since,
            to: self.head,
            complete: self.since == Revision(0),
            records: records.collect(),
        }
    }
}

fn read(pair: &etcd::KeyValue) -> Option<StoredResource> {
    let Some(key) = table::parse_resource_path(&pair.key) else {
        ignore("resource_kind", &pair.key, "unknown kind");
        return None;
    };
    match manifest::decode_stored(&key, &pair.value, Revision(pair.mod_revision)) {
        Ok(stored) => Some(stored),
        Err(error) => {
            ignore("resource_corrupt", &pair.key, &error.to_string());
            None
        }
    }
}

fn ignore(what: &'static str, key: &str, problem: &str) {
    metrics::counter!("hornbeamloom_ignored_total", "input" => what).increment(1);
    log::warn!("ignored={what} key={key:?} problem={problem:?}");
}

fn malformed(error: MalformedResponse, failure: Failure) -> Failure {
    count("malformed");
    log::warn!("ignored=table_answer problem={:?}", error.0);
    failure
}

fn classify(error: &reqwest::Error) -> Failure {
    if error.is_connect() {
        count("connect");
        return Failure::Unavailable;
    }
    count(if error.is_timeout() { "timeout" } else { "broken" });
    Failure::Unknown
}

fn count(reason: &'static str) {
    metrics::counter!("hornbeamloom_store_failures_total", "reason" => reason).increment(1);
}

/// Reads a bounded body.
pub(crate) async fn collect(mut response: reqwest::Response) -> Result<Bytes, Failure> {
    let mut body = bytes::BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|error| classify(&error))? {
        if body.len() + chunk.len() > ANSWER_MAX {
            count("oversized");
            return Err(Failure::Unknown);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
