//! Puts the parts of a daemon together and runs it to its end.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use hornbeamloom_kernel::ids::Incarnation;
use hornbeamloom_kernel::kernel::{Identity, Kernel};
use tokio::sync::{mpsc, watch};

use crate::control::{self, Input, Port};
use crate::settings::Settings;
use crate::{edge, settings};

/// Exit status for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;

/// Serve generations as one entry VM of hornbeamloom.
#[derive(Debug, FromArgs)]
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
        Err(error) => return refuse(&error),
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    start_log(&settings.log.level);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return refuse(&error),
    };
    match runtime.block_on(serve(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => refuse(&error),
    }
}

fn refuse(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("hornbeamloomd: {error}");
    ExitCode::from(BAD_SETTINGS)
}

fn start_log(level: &str) {
    let level = level.parse().unwrap_or(log::LevelFilter::Info);
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .build();
    // A second logger in one process (tests) is not a reason to stop.
    let _ = simplelog::WriteLogger::init(level, config, std::io::stderr());
}

async fn serve(settings: Settings) -> Result<(), edge::Error> {
    let identity = identify(&settings);
    let (settings_sender, settings) = watch::channel(Arc::new(settings));
    let (stopping_sender, stopping) = watch::channel(false);
    let plugins = edge::all();
    let (ports, inboxes): (Vec<Port>, Vec<edge::Inbox>) = plugins
        .iter()
        .map(|plugin| {
            let (inbox, receiver) = mpsc::unbounded_channel();
            (
                Port {
                    takes: plugin.takes,
                    inbox,
                },
                receiver,
            )
        })
        .unzip();
    let (control, ends) = control::spawn(Kernel::new(identity.clone()), ports)
        .map_err(|error| edge::Error::Setting(error.to_string()))?;
    let context = edge::Context {
        settings,
        identity,
        control: control.clone(),
        intent: ends.intent,
        stopping,
    };
    for (plugin, inbox) in plugins.iter().zip(inboxes) {
        (plugin.start)(context.clone(), inbox)?;
    }
    wait_for_stop().await;
    stopping_sender.send_replace(true);
    control.tell(Input::Stop);
    // The control thread drops its end only when the kernel is drained or the process exits.
    let _ = ends.drained.await;
    drop(settings_sender);
    Ok(())
}

fn identify(settings: &Settings) -> Identity {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX));
    Identity::new(&settings.vm, &settings.zone, incarnation)
        .with_addresses(&settings.listen.peers, &settings.listen.callers)
        .with_seeds(settings.peers.clone())
        .with_seed(incarnation.0)
}

async fn wait_for_stop() {
    use tokio::signal::unix::{signal, SignalKind};
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be handled");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT can be handled");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
