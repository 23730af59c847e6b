//! Settings of the real process: the check, the exit status, and SIGHUP.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Longest wait for a state that must come.
const DEADLINE: Duration = Duration::from_secs(60);

/// Settings on a loopback address that no other test uses.
fn text(host: u8) -> String {
    let process = std::process::id();
    let host = format!("127.{}.{}.{host}", 1 + process / 250 % 250, process % 250);
    format!(
        "vm: entry-1\nzone: z\nlisten: {{callers: '{host}:8100', operators: '{host}:8200', \
         peers: '{host}:8300'}}\nplatform: {{table: 'http://{host}:8400', \
         objects: 'http://{host}:8400', vms: 'http://{host}:8400'}}\n\
         keys: {{operator: [op-old], peer: [peer-key]}}\nsettle_s: 0\n"
    )
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("settings-{name}.yaml"));
    std::fs::write(&path, text).expect("the file is written");
    path
}

fn daemon(path: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hornbeamloomd"));
    command.arg("--config").arg(path);
    command
}

fn lines(output: &Output) -> Vec<String> {
    let text = String::from_utf8_lossy(&output.stderr);
    text.lines().map(str::to_owned).collect()
}

/// `--check` ends with this status; a refusal is one line.
fn checks(host: u8, name: &str, change: (&str, &str), status: i32) {
    let path = file(name, &text(host).replace(change.0, change.1));
    let output = daemon(&path).arg("--check").output().expect("it runs");
    assert_eq!(output.status.code(), Some(status), "{output:?}");
    let expected = usize::from(status != 0);
    assert_eq!(lines(&output).len(), expected, "{output:?}");
}

hornbeamloom_kernel::cases! {
    checks;
    good_settings_pass_the_check: (1, "good", ("", ""), 0);
    bad_settings_fail_the_check: (2, "bad", ("zone: z", "zone: z\nzonne: y"), 2);
    advertised_addresses_pass_the_check: (6, "advertise", ("zone: z", "zone: z\nadvertise: {peers: '127.0.0.1:9'}"), 0);
    // Guards against VMs that are told an address at which nothing can answer.
    an_advertised_address_without_port_fails_the_check: (7, "no-port", ("zone: z", "zone: z\nadvertise: {callers: '127.0.0.1'}"), 2);
    one_address_advertised_twice_fails_the_check: (8, "twice", ("zone: z", "zone: z\nadvertise: {callers: '127.0.0.1:9', peers: '127.0.0.1:9'}"), 2);
    settings_without_vm_fail_the_check: (3, "no-vm", ("vm: entry-1\n", ""), 2);
}

/// Guards against a daemon that runs without one of its listeners.
#[test]
fn address_in_use_ends_the_process_with_one_line() {
    let text = text(4);
    let (_, rest) = text.split_once("operators: '").expect("an address");
    let (address, _) = rest.split_once('\'').expect("an address");
    let _listener = TcpListener::bind(address).expect("the address is free");
    let output = daemon(&file("in-use", &text)).output().expect("it runs");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let lines = lines(&output);
    assert!(lines.last().is_some_and(|line| line.contains(address)), "{lines:?}");
}

/// A running daemon, ended with the test.
struct Running(Child);

impl Running {
    fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

async fn eventually_accepted(client: &reqwest::Client, url: &str, key: &str) {
    let started = Instant::now();
    loop {
        let answer = client.get(url).bearer_auth(key).send().await;
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return;
        }
        assert!(started.elapsed() < DEADLINE, "{key} is not accepted in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Operators replace keys without a restart, and a bad file changes nothing.
#[tokio::test]
async fn hangup_takes_new_keys_and_refuses_a_bad_file_whole() {
    let old = text(5);
    let path = file("hangup", &old);
    let child = daemon(&path).stderr(Stdio::null()).spawn().expect("it runs");
    let running = Running(child);
    let (_, rest) = old.split_once("callers: '").expect("an address");
    let (address, _) = rest.split_once('\'').expect("an address");
    let url = format!("http://{address}/metrics");
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    eventually_accepted(&client, &url, "op-old").await;
    // The bad file has a new key too, which must not be taken.
    std::fs::write(&path, old.replace("op-old", "op-bad") + "extra: 1\n").expect("written");
    running.signal("-HUP");
    tokio::time::sleep(Duration::from_millis(300)).await;
    std::fs::write(&path, old.replace("op-old", "op-old, op-new")).expect("written");
    let bad = client.get(&url).bearer_auth("op-bad").send().await.expect("an answer");
    assert_eq!(bad.status(), 401);
    eventually_accepted(&client, &url, "op-old").await;
    running.signal("-HUP");
    eventually_accepted(&client, &url, "op-new").await;
    eventually_accepted(&client, &url, "op-old").await;
}
