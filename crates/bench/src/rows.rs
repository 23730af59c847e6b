//! A stand-in for the store of the users' platform: rows with conditions and feeds of changes.
//!
//! It runs in the test's own process. Its faults are those that the platform's pages name: it is
//! away, refuses, drops its history, loses answers, or writes late.

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

/// Changes kept for feeds.
const HISTORY_MAX: usize = 4_096;
/// Time after which a late write takes effect.
const LATE: Duration = Duration::from_millis(1_500);

/// The store's clock in milliseconds; it never goes back.
fn clock_ms() -> u64 {
    static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);
    u64::try_from(STARTED.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// How the store behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// As it should.
    #[default]
    None,
    /// Calls are refused and have no effect.
    Refuses,
    /// Calls have no effect and no answer.
    Silent,
    /// Transactions take effect and have no answer.
    LosesAnswers,
    /// Transactions take effect later and have no answer.
    Late,
}

/// Table, partition and key.
type Place = (String, String, String);

#[derive(Debug, Clone)]
struct Change {
    version: u64,
    place: Place,
    value: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Place, (u64, Vec<u8>)>,
    version: u64,
    history: VecDeque<Change>,
    /// Changes up to this version are forgotten.
    forgotten: u64,
    fault: Fault,
    calls: BTreeMap<String, usize>,
}

/// The stand-in.
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
struct RowForm {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    row_version: u64,
}

impl RowForm {
    fn place(&self) -> Place {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    expected_revision: Vec<RowForm>,
    #[serde(default)]
    writes: Vec<RowForm>,
    #[serde(default)]
    remove: Vec<RowForm>,
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
        let store = Store { address, state: Arc::default(), changed };
        let own = store.clone();
        let with_store = move || own.clone();
        let rows = warp::path!("hornbeamloom" / "rows-get")
            .and(warp::query::<Query>())
            .map({
                let store = with_store();
                move |query| (store.clone(), query)
            })
            .then(|(store, query): (Store, Query)| async move { store.rows(&query).await });
        let feed = warp::path!("hornbeamloom" / "rows-feed")
            .and(warp::query::<Query>())
            .map({
                let store = with_store();
                move |query| (store.clone(), query)
            })
            .then(|(store, query): (Store, Query)| async move { store.feed(&query).await });
        let transaction = warp::path!("hornbeamloom" / "rows-tx")
            .and(warp::post())
            .and(warp::body::json::<Transaction>())
            .map({
                let store = with_store();
                move |body| (store.clone(), body)
            })
            .then(
                |(store, body): (Store, Transaction)| async move { store.transaction(body).await },
            );
        let routes = rows.or(feed).unify().or(transaction).unify();
        tokio::spawn(warp::serve(routes).incoming(listener).run());
        Ok(store)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes it behave in another way.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Drops the history of changes, so that feeds have to start anew.
    pub fn forget_history(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.forgotten = state.version;
    }

    /// Writes a row as the operator or a target does; the version it got.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        let place = (table.to_owned(), String::new(), key.to_owned());
        self.change(vec![(place, Some(value.to_vec()))])
    }

    /// Drops a row as the operator or a target does.
    pub fn drop_row(&self, table: &str, key: &str) {
        let place = (table.to_owned(), String::new(), key.to_owned());
        self.change(vec![(place, None)]);
    }

    /// The rows of a table in all partitions, by key.
    pub fn table(&self, table: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.lock();
        let rows = state.rows.iter().filter(|((own, _, _), _)| own == table);
        rows.map(|((_, _, key), (_, value))| (key.clone(), value.clone())).collect()
    }

    /// Calls of a kind so far, refused ones included: `rows-get`, `rows-feed`, `rows-tx`, or
    /// `rows-feed TABLE`.
    pub fn calls(&self, kind: &str) -> usize {
        self.lock().calls.get(kind).copied().unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn change(&self, changes: Vec<(Place, Option<Vec<u8>>)>) -> u64 {
        let version = {
            let mut state = self.lock();
            state.version += 1;
            let version = state.version;
            for (place, value) in changes {
                match &value {
                    Some(value) => drop(state.rows.insert(place.clone(), (version, value.clone()))),
                    None => drop(state.rows.remove(&place)),
                }
                state.history.push_back(Change { version, place, value });
            }
            while state.history.len() > HISTORY_MAX {
                if let Some(change) = state.history.pop_front() {
                    state.forgotten = change.version;
                }
            }
            version
        };
        self.changed.send_replace(version);
        version
    }

    /// Counts a call and applies the fault that concerns all calls.
    async fn enter(&self, kind: &str) -> Option<Response> {
        let fault = {
            let mut state = self.lock();
            *state.calls.entry(kind.to_owned()).or_default() += 1;
            state.fault
        };
        match fault {
            Fault::Refuses => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            Fault::Silent => std::future::pending().await,
            _ => None,
        }
    }

    async fn rows(&self, query: &Query) -> Response {
        if let Some(refused) = self.enter("rows-get").await {
            return refused;
        }
        let state = self.lock();
        let is_wanted = |(table, part, key): &Place| {
            *table == query.table
                && *part == query.part
                && query.from.as_ref().is_none_or(|from| key >= from)
                && query.to.as_ref().is_none_or(|to| key < to)
        };
        let found: Vec<_> = state.rows.iter().filter(|(place, _)| is_wanted(place)).collect();
        let limit = query.max_items.unwrap_or(500).min(500);
        let rows: Vec<Value> = found
            .iter()
            .take(limit)
            .map(|(place, (version, value))| row(place, *version, Some(value)))
            .collect();
        let has_more = found.len() > limit;
        let answer = json!({"rows": rows, "has_more": has_more, "row_version": state.version, "now_ms": clock_ms()});
        warp::reply::json(&answer).into_response()
    }

    async fn feed(&self, query: &Query) -> Response {
        if let Some(refused) = self.enter("rows-feed").await {
            return refused;
        }
        *self.lock().calls.entry(format!("rows-feed {}", query.table)).or_default() += 1;
        let answer = self.wait(query).await;
        // An answer on a connection that has fallen silent is lost.
        if self.lock().fault == Fault::Silent {
            return std::future::pending().await;
        }
        answer
    }

    async fn wait(&self, query: &Query) -> Response {
        let mut changed = self.changed.subscribe();
        let end = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
        loop {
            if let Some(answer) = self.changes(query) {
                return answer;
            }
            // A sender that is gone means that the test is over.
            if tokio::time::timeout_at(end, changed.changed()).await.is_err() {
                break;
            }
        }
        let version = self.lock().version;
        warp::reply::json(&json!({"rows": [], "row_version": version, "now_ms": clock_ms()}))
            .into_response()
    }

    fn changes(&self, query: &Query) -> Option<Response> {
        let state = self.lock();
        if query.since_revision < state.forgotten {
            return Some(StatusCode::GONE.into_response());
        }
        let rows: Vec<Value> = state
            .history
            .iter()
            .filter(|change| change.version > query.since_revision && change.place.0 == query.table)
            .map(|change| row(&change.place, change.version, change.value.as_deref()))
            .collect();
        let answer = json!({"rows": rows, "row_version": state.version, "now_ms": clock_ms()});
        (!rows.is_empty()).then(|| warp::reply::json(&answer).into_response())
    }

    async fn transaction(&self, body: Transaction) -> Response {
        if let Some(refused) = self.enter("rows-tx").await {
            return refused;
        }
        let fault = self.lock().fault;
        if fault == Fault::Late {
            let store = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(LATE).await;
                store.apply(&body);
            });
            return std::future::pending().await;
        }
        let answer = self.apply(&body);
        match fault {
            Fault::LosesAnswers => std::future::pending().await,
            _ => answer,
        }
    }

    fn apply(&self, body: &Transaction) -> Response {
        let is_own = |row: &&RowForm| row.table == "op" || row.table == "servers";
        if body.writes.iter().chain(&body.remove).any(|row| is_own(&row)) {
            return StatusCode::FORBIDDEN.into_response();
        }
        {
            let state = self.lock();
            let version = |place: &Place| state.rows.get(place).map_or(0, |(version, _)| *version);
            if body.expected_revision.iter().any(|row| version(&row.place()) != row.row_version) {
                let rows: Vec<Value> = body
                    .expected_revision
                    .iter()
                    .filter_map(|form| {
                        let place = form.place();
                        let (version, value) = state.rows.get(&place)?;
                        Some(row(&place, *version, Some(value)))
                    })
                    .collect();
                let answer =
                    json!({"rows": rows, "row_version": state.version, "now_ms": clock_ms()});
                let answer = warp::reply::json(&answer);
                return warp::reply::with_status(answer, StatusCode::PRECONDITION_FAILED)
                    .into_response();
            }
        }
        let writes = body
            .writes
            .iter()
            .map(|form| (form.place(), Some(STANDARD.decode(&form.value).unwrap_or_default())));
        let removals = body.remove.iter().map(|form| (form.place(), None));
        let version = self.change(writes.chain(removals).collect());
        warp::reply::json(&json!({"row_version": version, "now_ms": clock_ms()})).into_response()
    }
}

fn row(place: &Place, version: u64, value: Option<&[u8]>) -> Value {
    let (table, part, key) = place;
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
