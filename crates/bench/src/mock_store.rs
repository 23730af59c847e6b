//! A mock of the store of the users' platform: rows, conditional transactions and change feeds.
//!
//! It runs in the process of the test. It injects the faults that the platform's documentation
//! names: it is unreachable, refuses calls, discards its history, loses responses, delays writes or
//! comes back from an older copy.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, LazyLock, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::sync::watch;
use warp::http::StatusCode;
use warp::reply::{Reply, Response};
use warp::Filter;

/// Number of changes kept for feeds.
const MAX_HISTORY: usize = 4_096;
/// Time after which a delayed transaction takes effect.
const WRITE_DELAY: Duration = Duration::from_millis(1_500);

/// The store's monotonic clock in milliseconds.
fn clock_ms() -> u64 {
    static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);
    u64::try_from(STARTED.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// The fault that the store injects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Calls get a 503 response and have no effect.
    Unavailable,
    /// Reads and feeds get a 410 response, as if the history were gone.
    Gone,
    /// Calls have no effect and get no response.
    Unresponsive,
    /// Transactions take effect but get no response.
    DropsResponses,
    /// Transactions take effect after a delay and get no response.
    DelaysWrites,
}

/// Table, partition and key of a row.
type RowKey = (String, String, String);

#[derive(Debug, Clone)]
struct Change {
    version: u64,
    row_key: RowKey,
    value: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<RowKey, (u64, Vec<u8>)>,
    version: u64,
    history: VecDeque<Change>,
    /// Changes up to this version have been discarded from the history.
    compacted_version: u64,
    /// The number that the store names as its era.
    era: u64,
    fault: Fault,
    calls: BTreeMap<String, usize>,
}

/// A copy of the rows at one time.
#[derive(Debug, Clone)]
pub struct Backup {
    rows: BTreeMap<RowKey, (u64, Vec<u8>)>,
    version: u64,
}

/// A handle to a running mock store.
#[derive(Debug, Clone)]
pub struct Store {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Query {
    table: String,
    #[serde(default)]
    part: String,
    #[serde(default)]
    from: Option<String>,
    #[serde(default)]
    to: Option<String>,
    #[serde(default)]
    max_items: Option<usize>,
    #[serde(default)]
    since_revision: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct TransactionRow {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    row_version: u64,
}

impl TransactionRow {
    fn row_key(&self) -> RowKey {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    expected_revision: Vec<TransactionRow>,
    #[serde(default)]
    writes: Vec<TransactionRow>,
    #[serde(default)]
    remove: Vec<TransactionRow>,
}

impl Store {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start() -> std::io::Result<Store> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (changed, _) = watch::channel(0);
        let state = State { era: 1, ..State::default() };
        let store = Store { address, state: Arc::new(Mutex::new(state)), changed };
        let shared_store = store.clone();
        let with_store = move || shared_store.clone();
        let rows = warp::path!("hornbeamloom" / "rows-get")
            .and(warp::query::<Query>())
            .map({
                let store = with_store();
                move |query| (store.clone(), query)
            })
            .then(|(store, query): (Store, Query)| async move { store.get_rows(&query).await });
        let feed = warp::path!("hornbeamloom" / "rows-feed")
            .and(warp::query::<Query>())
            .map({
                let store = with_store();
                move |query| (store.clone(), query)
            })
            .then(|(store, query): (Store, Query)| async move { store.read_feed(&query).await });
        let transaction = warp::path!("hornbeamloom" / "rows-tx")
            .and(warp::post())
            .and(warp::body::json::<Transaction>())
            .map({
                let store = with_store();
                move |body| (store.clone(), body)
            })
            .then(|(store, body): (Store, Transaction)| async move { store.transact(body).await });
        let era_store = with_store();
        let routes =
            rows.or(feed).unify().or(transaction).unify().map(move |response: Response| {
                warp::reply::with_header(response, "store-era", era_store.lock().era)
            });
        tokio::spawn(warp::serve(routes).incoming(listener).run());
        Ok(store)
    }

    /// The address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault to inject from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Sets the number that the store names as its era; it rises by one with each return.
    pub fn set_era(&self, era: u64) {
        self.lock().era = era;
    }

    /// Discards the history of changes, so that feeds have to restart from a full read.
    pub fn compact_history(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.compacted_version = state.version;
    }

    /// Copies all rows.
    pub fn back_up(&self) -> Backup {
        let state = self.lock();
        Backup { rows: state.rows.clone(), version: state.version }
    }

    /// Goes back to a copy. The versions issued since are issued again.
    pub fn restore(&self, backup: &Backup) {
        let version = {
            let mut state = self.lock();
            state.rows = backup.rows.clone();
            state.version = backup.version;
            state.history.retain(|change| change.version <= backup.version);
            state.era += 1;
            state.version
        };
        self.changed.send_replace(version);
    }

    /// Writes a row on behalf of the operator or a target and returns its version.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        self.apply_changes(vec![(row_key, Some(value.to_vec()))])
    }

    /// Deletes a row on behalf of the operator or a target.
    pub fn delete_row(&self, table: &str, key: &str) {
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        self.apply_changes(vec![(row_key, None)]);
    }

    /// Keys and values of a table in all partitions.
    pub fn table(&self, table: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.lock();
        let rows = state.rows.iter().filter(|((row_table, _, _), _)| row_table == table);
        rows.map(|((_, _, key), (_, value))| (key.clone(), value.clone())).collect()
    }

    /// Number of calls of a kind so far, including failed ones. A kind is `rows-get`, `rows-feed`,
    /// `rows-tx` or `rows-feed TABLE`.
    pub fn calls(&self, kind: &str) -> usize {
        self.lock().calls.get(kind).copied().unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    fn apply_changes(&self, changes: Vec<(RowKey, Option<Vec<u8>>)>) -> u64 {
        let version = {
            let mut state = self.lock();
            state.version += 1;
            let version = state.version;
            for (row_key, value) in changes {
                match &value {
                    Some(value) => {
                        drop(state.rows.insert(row_key.clone(), (version, value.clone())))
                    }
                    None => drop(state.rows.remove(&row_key)),
                }
                state.history.push_back(Change { version, row_key, value });
            }
            while state.history.len() > MAX_HISTORY {
                if let Some(change) = state.history.pop_front() {
                    state.compacted_version = change.version;
                }
            }
            version
        };
        self.changed.send_replace(version);
        version
    }

    /// Counts a call and applies the faults that affect every kind of call.
    async fn admit_call(&self, kind: &str) -> Option<Response> {
        let fault = {
            let mut state = self.lock();
            *state.calls.entry(kind.to_owned()).or_default() += 1;
            state.fault
        };
        match fault {
            Fault::Unavailable => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            Fault::Gone if kind != "rows-tx" => Some(StatusCode::GONE.into_response()),
            Fault::Unresponsive => std::future::pending().await,
            _ => None,
        }
    }

    async fn get_rows(&self, query: &Query) -> Response {
        if let Some(fault_response) = self.admit_call("rows-get").await {
            return fault_response;
        }
        let state = self.lock();
        let matches_query = |(table, part, key): &RowKey| {
            *table == query.table
                && *part == query.part
                && query.from.as_ref().is_none_or(|from| key >= from)
                && query.to.as_ref().is_none_or(|to| key < to)
        };
        let matching_rows: Vec<_> =
            state.rows.iter().filter(|(row_key, _)| matches_query(row_key)).collect();
        let limit = query.max_items.unwrap_or(500).min(500);
        let rows: Vec<Value> = matching_rows
            .iter()
            .take(limit)
            .map(|(row_key, (version, value))| row_json(row_key, *version, Some(value)))
            .collect();
        let has_more = matching_rows.len() > limit;
        let response = json!({
            "rows": rows, "has_more": has_more, "row_version": state.version, "now_ms": clock_ms(),
        });
        warp::reply::json(&response).into_response()
    }

    async fn read_feed(&self, query: &Query) -> Response {
        if let Some(fault_response) = self.admit_call("rows-feed").await {
            return fault_response;
        }
        *self.lock().calls.entry(format!("rows-feed {}", query.table)).or_default() += 1;
        let response = self.wait_for_changes(query).await;
        // A fault that was set while the call waited also withholds its response.
        if self.lock().fault == Fault::Unresponsive {
            return std::future::pending().await;
        }
        response
    }

    async fn wait_for_changes(&self, query: &Query) -> Response {
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
        loop {
            if let Some(response) = self.changes_since(query) {
                return response;
            }
            // `changed` cannot fail here: `self` owns the sender.
            if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
                break;
            }
        }
        let version = self.lock().version;
        warp::reply::json(&json!({"rows": [], "row_version": version, "now_ms": clock_ms()}))
            .into_response()
    }

    fn changes_since(&self, query: &Query) -> Option<Response> {
        let state = self.lock();
        if !(state.compacted_version..=state.version).contains(&query.since_revision) {
            return Some(StatusCode::GONE.into_response());
        }
        let rows: Vec<Value> = state
            .history
            .iter()
            .filter(|change| {
                change.version > query.since_revision && change.row_key.0 == query.table
            })
            .map(|change| row_json(&change.row_key, change.version, change.value.as_deref()))
            .collect();
        let response = json!({"rows": rows, "row_version": state.version, "now_ms": clock_ms()});
        (!rows.is_empty()).then(|| warp::reply::json(&response).into_response())
    }

    async fn transact(&self, body: Transaction) -> Response {
        if let Some(fault_response) = self.admit_call("rows-tx").await {
            return fault_response;
        }
        let fault = self.lock().fault;
        if fault == Fault::DelaysWrites {
            let store = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(WRITE_DELAY).await;
                store.apply_transaction(&body);
            });
            return std::future::pending().await;
        }
        let response = self.apply_transaction(&body);
        match fault {
            Fault::DropsResponses => std::future::pending().await,
            _ => response,
        }
    }

    fn apply_transaction(&self, body: &Transaction) -> Response {
        // Only the operator and targets write these tables.
        let is_protected = |row: &&TransactionRow| row.table == "op" || row.table == "servers";
        if body.writes.iter().chain(&body.remove).any(|row| is_protected(&row)) {
            return StatusCode::FORBIDDEN.into_response();
        }
        {
            let state = self.lock();
            let version =
                |row_key: &RowKey| state.rows.get(row_key).map_or(0, |(version, _)| *version);
            if body.expected_revision.iter().any(|row| version(&row.row_key()) != row.row_version) {
                let rows: Vec<Value> = body
                    .expected_revision
                    .iter()
                    .filter_map(|row| {
                        let row_key = row.row_key();
                        let (version, value) = state.rows.get(&row_key)?;
                        Some(row_json(&row_key, *version, Some(value)))
                    })
                    .collect();
                let response =
                    json!({"rows": rows, "row_version": state.version, "now_ms": clock_ms()});
                let response = warp::reply::json(&response);
                return warp::reply::with_status(response, StatusCode::PRECONDITION_FAILED)
                    .into_response();
            }
        }
        let writes = body
            .writes
            .iter()
            .map(|row| (row.row_key(), Some(STANDARD.decode(&row.value).unwrap_or_default())));
        let removals = body.remove.iter().map(|row| (row.row_key(), None));
        let version = self.apply_changes(writes.chain(removals).collect());
        warp::reply::json(&json!({"row_version": version, "now_ms": clock_ms()})).into_response()
    }
}

fn row_json(row_key: &RowKey, version: u64, value: Option<&[u8]>) -> Value {
    let (table, part, key) = row_key;
    match value {
        Some(value) => json!({
            "table": table, "part": part, "key": key, "row_version": version,
            "value": STANDARD.encode(value),
        }),
        None => json!({
            "table": table, "part": part, "key": key, "row_version": version, "deleted": true,
        }),
    }
}
