//! Assembles a daemon, runs it and shuts it down.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use hornbeamloom_kernel::ids::Incarnation;
use hornbeamloom_kernel::kernel::{Identity, Kernel};
use tokio::signal::unix::{self, SignalKind};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::connections::Connections;
use crate::control::{self, Control, Input, OutcomeRoute};
use crate::log_writer::LogWriter;
use crate::memory::Account;
use crate::published;
use crate::settings::Settings;
use crate::{adapter, log_writer, settings};

/// Delay before exit in which the last messages to peers are written to their sockets.
const PEER_FLUSH_TIME: Duration = Duration::from_millis(250);

/// Time before the shutdown limit at which requests without a response get a final one, so that it
/// reaches the callers before the process ends.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// Exit status for invalid settings and other start-up failures.
const STARTUP_FAILURE_STATUS: u8 = 2;

/// Serve generations as one entry VM of hornbeamloom.
#[derive(Debug)]
#[derive(FromArgs)]
pub struct Args {
    /// the YAML settings file
    #[argh(option)]
    pub config: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

/// Runs the daemon until it has shut down gracefully.
pub fn main(args: &Args) -> ExitCode {
    let settings = match settings::read(&args.config) {
        Ok(settings) => settings,
        Err(error) => return exit_with_error(&error),
    };
    if args.check {
        return match adapter::checked_plugins(&settings) {
            Ok(_) => ExitCode::SUCCESS,
            Err(error) => exit_with_error(&error),
        };
    }
    init_logging(&settings.log.level);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(&error),
    };
    let result = runtime.block_on(serve(settings, &args.config));
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit_with_error(&error),
    }
}

fn exit_with_error(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("hornbeamloomd: {error}");
    ExitCode::from(STARTUP_FAILURE_STATUS)
}

fn init_logging(level: &str) {
    let config = simplelog::ConfigBuilder::new().set_time_format_rfc3339().build();
    // The logger accepts all levels; filtering uses the global maximum level, which a reload can
    // change. Initialisation fails if the process already has a logger, as in tests; the first one
    // then stays in use.
    let writer = LogWriter::new(std::io::stdout(), log_writer::MAX_QUEUED_LINES);
    let _ = simplelog::WriteLogger::init(log::LevelFilter::Trace, config, writer);
    set_log_level(level);
}

fn set_log_level(level: &str) {
    log::set_max_level(level.parse().unwrap_or(log::LevelFilter::Info));
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    control: Control,
    memory: Account,
    settings: watch::Sender<Arc<Settings>>,
    stopping: watch::Sender<bool>,
    answer_by: watch::Sender<Option<Instant>>,
    drained: watch::Sender<bool>,
    server_shutdown: adapter::ServerShutdown,
    kernel_drained: oneshot::Receiver<()>,
}

impl Daemon {
    /// Starts the control thread and all enabled adapters on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the configured adapter is unknown or any adapter fails to start.
    pub fn start(settings: Settings) -> Result<Daemon, adapter::Error> {
        let identity = build_identity(&settings);
        let plugins = adapter::checked_plugins(&settings)?;
        let (settings_sender, settings) = published::channel(Arc::new(settings));
        let (stopping_sender, stopping) = published::channel(false);
        let (answer_by_sender, answer_by) = published::channel(None);
        let (drained_sender, drained) = published::channel(false);
        let server_shutdown = adapter::ServerShutdown::new(drained);
        let (routes, inboxes): (Vec<OutcomeRoute>, Vec<adapter::Inbox>) =
            plugins.iter().map(outcome_route).unzip();
        let (control, receivers) = control::spawn(Kernel::new(identity.clone()), routes)
            .map_err(|error| adapter::Error::Startup(error.to_string()))?;
        let memory = Account::new(settings.get().limits.account_bytes());
        let connections = Connections::new(settings.clone());
        let context = adapter::Context {
            settings,
            identity,
            control: control.clone(),
            memory: memory.clone(),
            connections,
            intent: receivers.intent,
            path: receivers.path,
            stopping,
            answer_by,
            server_shutdown: server_shutdown.clone(),
        };
        for (plugin, inbox) in plugins.iter().zip(inboxes) {
            (plugin.start)(context.clone(), inbox)?;
        }
        Ok(Daemon {
            control,
            memory,
            settings: settings_sender,
            stopping: stopping_sender,
            answer_by: answer_by_sender,
            drained: drained_sender,
            server_shutdown,
            kernel_drained: receivers.drained,
        })
    }

    /// Returns the handle to the control thread.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        published::latest(&self.settings)
    }

    /// Applies the settings that can change without a restart.
    ///
    /// These are keys, log level and limits; all other settings stay unchanged.
    pub fn reload(&self, new: &Settings) {
        let settings = published::latest(&self.settings).with_reloadable_from(new);
        if settings != *new {
            log::warn!("changed settings that need a restart were not applied");
        }
        set_log_level(&settings.log.level);
        self.memory.set_limit(settings.limits.account_bytes());
        self.settings.send_replace(Arc::new(settings));
    }

    /// Shuts down gracefully: fails the readiness check, waits the settle time so that the load
    /// balancer stops sending requests, finishes all work and stops.
    pub async fn stop(self) {
        let settings = published::latest(&self.settings);
        let limit = settings.shutdown_limit_s.map(Duration::from_secs_f64);
        let answer_within = limit.map(|limit| limit.saturating_sub(FINAL_RESPONSE_MARGIN));
        self.answer_by.send_replace(answer_within.map(|within| Instant::now() + within));
        self.stopping.send_replace(true);
        self.control.tell(Input::ShutdownStarted(answer_within));
        let work = async {
            tokio::time::sleep(Duration::from_secs_f64(settings.settle_s)).await;
            self.control.tell(Input::Drain);
            // Resolves when the kernel is drained.
            let _ = self.kernel_drained.await;
            self.drained.send_replace(true);
            self.server_shutdown.completed().await;
            // The last messages to peers may not have been written to their sockets yet.
            tokio::time::sleep(PEER_FLUSH_TIME).await;
        };
        match limit {
            None => work.await,
            Some(limit) => {
                if tokio::time::timeout(limit, work).await.is_err() {
                    log::warn!("shutdown limit reached limit_s={}", limit.as_secs_f64());
                }
            }
        }
    }
}

fn outcome_route(plugin: &adapter::Plugin) -> (OutcomeRoute, adapter::Inbox) {
    let (inbox, receiver) = mpsc::unbounded_channel();
    let accepts = plugin.accepts;
    (OutcomeRoute { accepts, inbox }, receiver)
}

async fn serve(settings: Settings, config: &Path) -> Result<(), adapter::Error> {
    let mut signals = Signals::new().map_err(|error| adapter::Error::Startup(error.to_string()))?;
    let daemon = Daemon::start(settings)?;
    log::info!("started");
    while let Signal::Reload = signals.next().await {
        match settings::read(config) {
            Ok(settings) => {
                daemon.reload(&settings);
                log::info!("settings reloaded");
            }
            Err(error) => {
                log::warn!("settings not reloaded, the previous ones stay in force: {error}")
            }
        }
    }
    log::info!("shutting down");
    daemon.stop().await;
    log::info!("stopped");
    Ok(())
}

fn build_identity(settings: &Settings) -> Identity {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX));
    Identity::new(&settings.vm, &settings.zone, incarnation)
        .with_addresses(settings.peer_address(), settings.caller_address())
        .with_seeds(settings.peers.clone())
        .with_seed(incarnation.0)
}

enum Signal {
    Reload,
    Stop,
}

/// The signals that the daemon handles.
struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    fn new() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: unix::signal(SignalKind::terminate())?,
            interrupt: unix::signal(SignalKind::interrupt())?,
            hangup: unix::signal(SignalKind::hangup())?,
        })
    }

    async fn next(&mut self) -> Signal {
        tokio::select! {
            _ = self.terminate.recv() => Signal::Stop,
            _ = self.interrupt.recv() => Signal::Stop,
            _ = self.hangup.recv() => Signal::Reload,
        }
    }
}
