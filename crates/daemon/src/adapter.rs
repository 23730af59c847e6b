//! The adapter registry and the context that adapters share.
//!
//! An adapter translates between one external party (callers, operators, peers, the platform or
//! engines) and the control thread. Each adapter registers itself in its own file.

use std::sync::Arc;

use hornbeamloom_kernel::intent::Intent;
use hornbeamloom_kernel::kernel::Identity;
use hornbeamloom_kernel::outcome::Outcome;
use hornbeamloom_kernel::reach::Path;
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::connections::Connections;
use crate::control::Control;
use crate::memory::Account;
use crate::published;
use crate::settings::Settings;

/// Shared state passed to every adapter.
#[derive(Debug, Clone)]
pub struct Context {
    /// The validated settings; replaced on SIGHUP.
    pub settings: published::Value<Arc<Settings>>,
    /// The identity of this VM in the fleet.
    pub identity: Identity,
    /// Handle to the control thread.
    pub control: Control,
    /// Memory in which bodies are buffered.
    pub memory: Account,
    /// The open connections of clients.
    pub connections: Connections,
    /// The resources in force, published by the control thread.
    pub intent: published::Value<Arc<Intent>>,
    /// How connections to targets are opened, published by the control thread.
    pub path: published::Value<Path>,
    /// Becomes true when a graceful shutdown begins.
    pub stopping: published::Value<bool>,
    /// When every request needs its response; `None` unless a shutdown with a limit has begun.
    pub answer_by: published::Value<Option<Instant>>,
    /// Lets servers finish open responses before the process exits.
    pub server_shutdown: ServerShutdown,
}

impl Context {
    /// Resolves when a response is due: at `deadline`, or earlier if the process is about to end.
    pub async fn response_due(&self, deadline: Instant) {
        tokio::select! {
            () = tokio::time::sleep_until(deadline) => {}
            () = self.final_responses_due() => {}
        }
    }

    /// Resolves when every request needs its response because the process is about to end.
    pub async fn final_responses_due(&self) {
        let mut answer_by = self.answer_by.clone();
        match answer_by.wait_for(Option::is_some).await.ok().flatten() {
            Some(by) => tokio::time::sleep_until(by).await,
            // The sender is dropped when the process exits.
            None => std::future::pending().await,
        }
    }
}

/// Coordinates the shutdown of servers, so that open responses finish before the process exits.
#[derive(Debug, Clone)]
pub struct ServerShutdown {
    drained: published::Value<bool>,
    servers: Arc<Semaphore>,
}

/// Maximum number of servers that can register with [`ServerShutdown`].
const MAX_SERVERS: u32 = 64;

impl ServerShutdown {
    /// Creates a handle whose shutdown is requested when `drained` becomes true.
    pub fn new(drained: published::Value<bool>) -> ServerShutdown {
        let servers = Arc::new(Semaphore::new(MAX_SERVERS as usize));
        ServerShutdown { drained, servers }
    }

    /// Resolves when no new work will arrive and open responses should be finished.
    pub async fn requested(mut self) {
        // A dropped sender means that the process is exiting.
        let _ = self.drained.wait_for(|drained| *drained).await;
    }

    /// Registers a server; the process does not exit until the permit is dropped.
    ///
    /// Returns `None` if no permit is left.
    pub fn register(&self) -> Option<OwnedSemaphorePermit> {
        self.servers.clone().try_acquire_owned().ok()
    }

    /// Resolves when every registered server has finished.
    pub async fn completed(&self) {
        // The semaphore is never closed.
        drop(self.servers.acquire_many(MAX_SERVERS).await);
    }
}

/// Receives the kernel outcomes routed to one adapter.
pub type Inbox = mpsc::UnboundedReceiver<Outcome>;

/// The reason why the daemon could not start.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// A listen address could not be bound.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Bind {
        /// The address from the settings.
        address: String,
        /// What the address is used for.
        purpose: &'static str,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// Any other start-up failure, such as an unknown adapter or a client that cannot be built.
    #[error("{0}")]
    Startup(String),
}

/// Binds a TCP listener; `purpose` appears in the error.
pub fn bind(address: &str, purpose: &'static str) -> Result<tokio::net::TcpListener, Error> {
    let fail = |source| Error::Bind { address: address.to_owned(), purpose, source };
    let listener = std::net::TcpListener::bind(address).map_err(fail)?;
    listener.set_nonblocking(true).map_err(fail)?;
    tokio::net::TcpListener::from_std(listener).map_err(fail)
}

/// A registered adapter.
#[derive(Debug, Clone, Copy)]
pub struct Plugin {
    /// Unique name.
    pub name: &'static str,
    /// Start order; lower first.
    pub rank: u16,
    /// Returns whether the settings enable it.
    pub is_enabled: fn(&Settings) -> bool,
    /// Validates its part of the settings, without side effects.
    pub check: fn(&Settings) -> Result<(), Error>,
    /// Returns whether it handles an outcome; each outcome goes to the first adapter, by rank,
    /// that accepts it.
    pub accepts: fn(&Outcome) -> bool,
    /// Binds its sockets and spawns its tasks on the current runtime.
    pub start: fn(Context, Inbox) -> Result<(), Error>,
}

inventory::collect!(Plugin);

/// Returns the registered adapters that the settings enable, in rank order, once each of them has
/// accepted its part of the settings.
///
/// # Errors
///
/// Returns an error if the settings name an unknown adapter or contain an invalid value for one.
pub(crate) fn checked_plugins(settings: &Settings) -> Result<Vec<Plugin>, Error> {
    let plugins = inventory::iter::<Plugin>.into_iter().copied();
    let mut plugins: Vec<Plugin> = plugins.filter(|plugin| (plugin.is_enabled)(settings)).collect();
    plugins.sort_by_key(|plugin| (plugin.rank, plugin.name));
    if let Some(name) = settings.adapter.as_ref().map(|adapter| &adapter.name) {
        if !plugins.iter().any(|plugin| plugin.name == name) {
            return Err(Error::Startup(format!("no adapter is named `{name}`")));
        }
    }
    for plugin in &plugins {
        (plugin.check)(settings)?;
    }
    Ok(plugins)
}
