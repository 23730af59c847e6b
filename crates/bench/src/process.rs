//! A child process that is killed when dropped.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

use crate::role::Error;

/// Limit for a process to print its listen address.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks for an exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running child process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    name: String,
}

impl Process {
    /// Starts `program` with `arguments` and appends its standard error to the file `log`.
    ///
    /// # Errors
    ///
    /// The program cannot be started or the log file cannot be opened.
    pub fn start(
        program: &Path,
        name: &str,
        arguments: &[&str],
        log: &Path,
    ) -> Result<Process, Error> {
        let log = open_log(log)?;
        Process::spawn(program, name, arguments, Stdio::piped(), log.into())
    }

    /// Starts `program` with `arguments` and appends its standard output and standard error to the
    /// file `log`.
    ///
    /// # Errors
    ///
    /// The program cannot be started or the log file cannot be opened.
    pub fn start_logged(
        program: &Path,
        name: &str,
        arguments: &[&str],
        log: &Path,
    ) -> Result<Process, Error> {
        let log = open_log(log)?;
        let stderr = log.try_clone()?;
        Process::spawn(program, name, arguments, log.into(), stderr.into())
    }

    fn spawn(
        program: &Path,
        name: &str,
        arguments: &[&str],
        stdout: Stdio,
        stderr: Stdio,
    ) -> Result<Process, Error> {
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(stdout).stderr(stderr);
        Ok(Process { child: command.spawn()?, name: name.to_owned() })
    }

    /// Reads standard output up to a line `LABEL ADDRESS` and returns the address.
    ///
    /// # Errors
    ///
    /// The process exited or took too long before it printed the line.
    pub fn read_address(&mut self, label: &str) -> Result<SocketAddr, Error> {
        let failed = || Error::Failed(format!("{} did not print its `{label}` address", self.name));
        let stdout = self.child.stdout.as_mut().ok_or_else(failed)?;
        let mut line = String::new();
        let mut lines = BufReader::with_capacity(1, stdout);
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            line.clear();
            if lines.read_line(&mut line)? == 0 {
                break;
            }
            let address = line.trim().strip_prefix(label).map(str::trim);
            if let Some(Ok(address)) = address.map(str::parse) {
                return Ok(address);
            }
        }
        Err(failed())
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Largest resident memory of the process so far, in MiB; `None` if it has exited.
    pub fn peak_resident_mb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kib / 1_024)
    }

    /// Sends a signal if the process still runs.
    pub fn signal(&mut self, signal: Signal) {
        let Ok(None) = self.child.try_wait() else {
            return;
        };
        if let Ok(pid) = i32::try_from(self.child.id()) {
            // The process may exit between the check and the signal.
            let _ = signal::kill(Pid::from_raw(pid), signal);
        }
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&mut self) {
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        // Reaps the child, which was just killed or had already exited.
        let _ = self.child.wait();
    }

    /// The exit status, if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits up to `timeout` for the process to exit; `None` if it still runs.
    pub async fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if let Some(status) = self.exit_status() {
                return Some(status);
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        None
    }
}

fn open_log(log: &Path) -> std::io::Result<File> {
    File::options().create(true).append(true).open(log)
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
