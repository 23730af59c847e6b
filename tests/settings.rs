//! Settings of the daemon as a process: `--check`, exit status and reload on SIGHUP.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use hornbeamloom_bench::deployment::{render, render_with_sections};

/// Time limit for a condition that must become true.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns settings that listen on a loopback address derived from the process id and `host_octet`,
/// so that no two tests share an address.
fn settings_yaml(host_octet: u8) -> String {
    let process = std::process::id();
    let host = format!("127.{}.{}.{host_octet}", 1 + process / 250 % 250, process % 250);
    format!(
        "vm: entry-1\nzone: z\nlisten: {{callers: '{host}:8100', operators: '{host}:8200', \
         peers: '{host}:8300'}}\nplatform: {{table: 'http://{host}:8400', \
         objects: 'http://{host}:8400', vms: 'http://{host}:8400'}}\n\
         keys: {{operator: [op-old], peer: [peer-key]}}\nsettle_s: 0\n"
    )
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("settings-{name}.yaml"));
    std::fs::write(&path, text).expect("the settings file is written");
    path
}

fn daemon_command(path: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hornbeamloomd"));
    command.arg("--config").arg(path);
    command
}

fn stderr_lines(output: &Output) -> Vec<String> {
    let text = String::from_utf8_lossy(&output.stderr);
    text.lines().map(str::to_owned).collect()
}

/// `--check` exits with `status` and prints one line if it rejects the settings, none otherwise.
fn check_exits_with(host_octet: u8, name: &str, change: (&str, &str), status: i32) {
    let path = write_settings(name, &settings_yaml(host_octet).replace(change.0, change.1));
    let output = daemon_command(&path).arg("--check").output().expect("the daemon starts");
    assert_eq!(output.status.code(), Some(status), "{output:?}");
    let expected = usize::from(status != 0);
    assert_eq!(stderr_lines(&output).len(), expected, "{output:?}");
}

/// Checks that the daemon accepts the settings of the deployment, without the bounds that only some
/// sites have and with them.
fn deployment_is_accepted(name: &str, bound: &str) {
    let template = include_str!("../deploy/settings.yaml");
    settings_are_accepted(name, render(template, bound));
    settings_are_accepted(&format!("{name}-all"), render_with_sections(template, bound));
}

fn settings_are_accepted(name: &str, text: Option<String>) {
    let path = write_settings(name, &text.expect("the platform defines each placeholder"));
    let output = daemon_command(&path).arg("--check").output().expect("the daemon starts");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

hornbeamloom_kernel::cases! {
    deployment_is_accepted;
    // Guards against VMs that do not start again after a bound became a fraction: the platform gives
    // each of them as a whole number or as a fraction.
    deployment_with_whole_numbers: ("deploy-whole", "8");
    deployment_with_fractions: ("deploy-fraction", "8.5");
    deployment_with_whole_fractions: ("deploy-point", "8.0");
}

/// Guards against settings that change for a site without roll-outs.
#[test]
fn deployment_without_rollouts_has_no_settings_for_them() {
    let text = render(include_str!("../deploy/settings.yaml"), "8");
    assert!(text.is_some_and(|text| text
        .ends_with("    drain_ms: 8\n    admission: auto\n    placement: {pauses: auto}\n")));
}

/// Settings of the platform adapter with fractions, very short and very long times.
const FRACTIONS: &str = "zone: z\nadapter: {name: fleet, settings: {readiness: '127.0.0.1:9', zones: {z: r}, retries: {ratio: 0.2, slack: 12.6}, revocation_ms: 5000.5, config_apply_ms: 430, drain_ms: 86400000.0}}";

hornbeamloom_kernel::cases! {
    check_exits_with;
    valid_settings_pass_the_check: (1, "good", ("", ""), 0);
    unknown_setting_fails_the_check: (2, "bad", ("zone: z", "zone: z\nzonne: y"), 2);
    advertised_address_passes_the_check: (6, "advertise", ("zone: z", "zone: z\nadvertise: {peers: '127.0.0.1:9'}"), 0);
    // Guards against an advertised address that peers or callers cannot connect to.
    advertised_address_without_port_fails_the_check: (7, "no-port", ("zone: z", "zone: z\nadvertise: {callers: '127.0.0.1'}"), 2);
    address_advertised_twice_fails_the_check: (8, "twice", ("zone: z", "zone: z\nadvertise: {callers: '127.0.0.1:9', peers: '127.0.0.1:9'}"), 2);
    // Guards against a daemon that ends at its start because the platform gives a fraction.
    fractions_in_amounts_and_times_pass_the_check: (9, "fractions", ("zone: z", FRACTIONS), 0);
    negative_amount_fails_the_check: (10, "negative", ("zone: z", "zone: z\nadapter: {name: fleet, settings: {readiness: '127.0.0.1:9', zones: {z: r}, retries: {ratio: 0.2, slack: -1}}}"), 2);
    time_that_is_no_number_fails_the_check: (11, "nan", ("zone: z", "zone: z\nadapter: {name: fleet, settings: {readiness: '127.0.0.1:9', zones: {z: r}, retries: {ratio: 0.2, slack: 1}, drain_ms: .nan}}"), 2);
    admission_by_slack_passes_the_check: (12, "slack", ("zone: z", "zone: z\nadapter: {name: fleet, settings: {readiness: '127.0.0.1:9', zones: {z: r}, retries: {ratio: 0.2, slack: 1}, admission: slack}}"), 0);
    admission_by_the_routes_passes_the_check: (15, "auto", ("zone: z", "zone: z\nadapter: {name: fleet, settings: {readiness: '127.0.0.1:9', zones: {z: r}, retries: {ratio: 0.2, slack: 1}, admission: auto, placement: {pauses: auto, spread: true}}}"), 0);
    unknown_admission_fails_the_check: (13, "admission", ("zone: z", "zone: z\nadapter: {name: fleet, settings: {readiness: '127.0.0.1:9', zones: {z: r}, retries: {ratio: 0.2, slack: 1}, admission: lifo}}"), 2);
    // Guards against an exposure of more than all requests because a percentage was given.
    share_above_one_fails_the_check: (14, "share", ("zone: z", "zone: z\nadapter: {name: fleet, settings: {readiness: '127.0.0.1:9', zones: {z: r}, retries: {ratio: 0.2, slack: 1}, rollout: {share: 10, tolerance: 50, rollback_ms: 5000}}}"), 2);
    missing_vm_fails_the_check: (3, "no-vm", ("vm: entry-1\n", ""), 2);
}

/// Guards against a daemon that keeps running although one of its ports could not be bound.
#[test]
fn address_in_use_exits_with_an_error_that_names_it() {
    let yaml = settings_yaml(4);
    let (_, rest) = yaml.split_once("operators: '").expect("the settings contain the address");
    let (address, _) = rest.split_once('\'').expect("the settings contain the address");
    let _listener = TcpListener::bind(address).expect("the address is free");
    let output =
        daemon_command(&write_settings("in-use", &yaml)).output().expect("the daemon starts");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let lines = stderr_lines(&output);
    assert!(lines.last().is_some_and(|line| line.contains(address)), "{lines:?}");
}

/// A daemon process that is killed on drop.
struct RunningDaemon(Child);

impl RunningDaemon {
    fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

async fn wait_until_accepted(client: &reqwest::Client, url: &str, key: &str) {
    let started = Instant::now();
    loop {
        let response = client.get(url).bearer_auth(key).send().await;
        if response.is_ok_and(|response| response.status() == 200) {
            return;
        }
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "key {key} was not accepted within {TEST_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a key rotation that needs a restart, and against a reload that applies a part of
/// an invalid file.
#[tokio::test]
async fn sighup_reloads_keys_and_rejects_an_invalid_file_entirely() {
    let yaml = settings_yaml(5);
    let path = write_settings("hangup", &yaml);
    let child = daemon_command(&path).stderr(Stdio::null()).spawn().expect("the daemon starts");
    let running = RunningDaemon(child);
    let (_, rest) = yaml.split_once("callers: '").expect("the settings contain the address");
    let (address, _) = rest.split_once('\'').expect("the settings contain the address");
    let url = format!("http://{address}/metrics");
    let client = reqwest::Client::builder().no_proxy().build().expect("the HTTP client is built");
    wait_until_accepted(&client, &url, "op-old").await;
    // The invalid file also contains a new key, which must not become valid.
    std::fs::write(&path, yaml.replace("op-old", "op-bad") + "extra: 1\n")
        .expect("the settings file is written");
    running.signal("-HUP");
    tokio::time::sleep(Duration::from_millis(300)).await;
    std::fs::write(&path, yaml.replace("op-old", "op-old, op-new"))
        .expect("the settings file is written");
    let rejected =
        client.get(&url).bearer_auth("op-bad").send().await.expect("the daemon responds");
    assert_eq!(rejected.status(), 401);
    wait_until_accepted(&client, &url, "op-old").await;
    running.signal("-HUP");
    wait_until_accepted(&client, &url, "op-new").await;
    wait_until_accepted(&client, &url, "op-old").await;
}
