//! The registry of adapters and what they share.
//!
//! An adapter translates between one outside party (callers, operators, peers, the platform,
//! engines) and the control thread. It registers itself from its own file.

use std::sync::Arc;

use hornbeamloom_kernel::intent::Intent;
use hornbeamloom_kernel::kernel::Identity;
use hornbeamloom_kernel::outcome::Outcome;
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};

use crate::control::Control;
use crate::settings::Settings;

/// What every adapter may use.
#[derive(Debug, Clone)]
pub struct Context {
    /// The checked settings, replaced on SIGHUP.
    pub settings: watch::Receiver<Arc<Settings>>,
    /// Who this VM is.
    pub identity: Identity,
    /// The way to the control thread.
    pub control: Control,
    /// The resources in force, published by the control thread.
    pub intent: watch::Receiver<Arc<Intent>>,
    /// Becomes true when a graceful shutdown begins.
    pub stopping: watch::Receiver<bool>,
    /// The end of the process, for servers with open answers.
    pub server_shutdown: ServerShutdown,
}

/// Lets servers finish their open answers before the process exits.
#[derive(Debug, Clone)]
pub struct ServerShutdown {
    drained: watch::Receiver<bool>,
    servers: Arc<Semaphore>,
}

/// Most servers that can register with [`ServerShutdown`].
const MAX_SERVERS: u32 = 64;

impl ServerShutdown {
    /// An exit that begins when `drained` becomes true.
    pub fn new(drained: watch::Receiver<bool>) -> ServerShutdown {
        let servers = Arc::new(Semaphore::new(MAX_SERVERS as usize));
        ServerShutdown { drained, servers }
    }

    /// Resolves when no new work will come and open answers should be finished.
    pub async fn requested(mut self) {
        // A sender that is gone means that the process is exiting.
        let _ = self.drained.wait_for(|drained| *drained).await;
    }

    /// Registers a server; the process waits until the permit is dropped.
    pub fn register(&self) -> Option<OwnedSemaphorePermit> {
        self.servers.clone().try_acquire_owned().ok()
    }

    /// Resolves when every registered server is done.
    pub async fn completed(&self) {
        // The semaphore is never closed.
        drop(self.servers.acquire_many(MAX_SERVERS).await);
    }
}

/// Outcomes meant for one adapter.
pub type Inbox = mpsc::UnboundedReceiver<Outcome>;

/// An adapter could not start.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// An address could not be bound.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Bind {
        /// The setting's value.
        address: String,
        /// The setting's purpose.
        purpose: &'static str,
        /// The cause.
        source: std::io::Error,
    },
    /// Anything else that the settings make impossible.
    #[error("{0}")]
    Startup(String),
}

/// Binds a listener for one purpose.
pub fn bind(address: &str, purpose: &'static str) -> Result<tokio::net::TcpListener, Error> {
    let fail = |source| Error::Bind { address: address.to_owned(), purpose, source };
    let listener = std::net::TcpListener::bind(address).map_err(fail)?;
    listener.set_nonblocking(true).map_err(fail)?;
    tokio::net::TcpListener::from_std(listener).map_err(fail)
}

/// An adapter.
#[derive(Debug, Clone, Copy)]
pub struct Plugin {
    /// Unique name.
    pub name: &'static str,
    /// Start order; lower first.
    pub rank: u16,
    /// Whether the settings ask for it.
    pub is_enabled: fn(&Settings) -> bool,
    /// Which outcomes it takes; each outcome goes to the first adapter that takes it.
    pub accepts: fn(&Outcome) -> bool,
    /// Binds its sockets and spawns its tasks on the current runtime.
    pub start: fn(Context, Inbox) -> Result<(), Error>,
}

inventory::collect!(Plugin);

/// The registered adapters that the settings ask for, in rank order.
pub(crate) fn enabled_plugins(settings: &Settings) -> Vec<Plugin> {
    let plugins = inventory::iter::<Plugin>.into_iter().copied();
    let mut plugins: Vec<Plugin> = plugins.filter(|plugin| (plugin.is_enabled)(settings)).collect();
    plugins.sort_by_key(|plugin| (plugin.rank, plugin.name));
    plugins
}
