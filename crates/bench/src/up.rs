//! Starts a small cluster for trying out the system.

use std::process::ExitCode;

use serde_json::json;

use crate::cluster::{resource, Cluster, Target, OPERATOR_KEY};
use crate::{role, runtime};

const MODEL_SERVICE: &str = "pisarz-modelu";
const PLAIN_SERVICE: &str = "biuro-zlecen";
const CALLER_KEY: &str = "parlour-1-key";
const ZONES: [&str; 2] = ["lodz-a", "lodz-b"];

inventory::submit! {
    role::Plugin { name: "up", help: "run three daemons with stand-ins to try out", run }
}

fn run(_argv: &[&str]) -> Result<ExitCode, role::Error> {
    runtime::block_on(async {
        let bench = std::env::current_exe()?;
        let mut cluster = Cluster::new(&bench)?;
        for (vm, zone) in [("entry-a1", ZONES[0]), ("entry-a2", ZONES[0]), ("entry-b1", ZONES[1])] {
            cluster.start_daemon(vm, zone)?;
        }
        declare_resources(&mut cluster).await?;
        cluster.wait_ready().await?;
        print_help(&cluster);
        tokio::signal::ctrl_c().await?;
        Ok(ExitCode::SUCCESS)
    })
}

async fn declare_resources(cluster: &mut Cluster) -> Result<(), role::Error> {
    for zone in ZONES {
        let spec = json!({"region": "pl-centrum"});
        cluster.apply(&resource("AvailabilityZone", zone, spec)).await?;
    }
    cluster.apply(&resource("Service", MODEL_SERVICE, json!({"protocol": "model"}))).await?;
    let spec = json!({"protocol": "plain", "onceMethods": ["POST"]});
    cluster.apply(&resource("Service", PLAIN_SERVICE, spec)).await?;
    let spec = json!({"weight": 1, "keys": [CALLER_KEY]});
    cluster.apply(&resource("Organisation", "parlour-1", spec)).await?;
    for target in targets() {
        let address = cluster.start_target(&target)?;
        cluster.apply(&Cluster::target_resource(&target, address)).await?;
    }
    Ok(())
}

fn targets() -> Vec<Target> {
    vec![
        Target::engine("engine-a1", MODEL_SERVICE, ZONES[0]),
        Target::engine("engine-a2", MODEL_SERVICE, ZONES[0]),
        Target::engine("engine-b1", MODEL_SERVICE, ZONES[1]),
        Target::service("desk-a1", PLAIN_SERVICE, ZONES[0]),
        Target::service("desk-b1", PLAIN_SERVICE, ZONES[1]),
    ]
}

fn print_help(cluster: &Cluster) {
    let daemon = &cluster.daemons[0];
    println!("Three daemons in two availability zones are ready. Try:\n");
    println!("  curl -N http://{}/v1/completions \\", daemon.caller_address);
    println!("    -H 'Authorization: Bearer {CALLER_KEY}' -H 'Content-Type: application/json' \\");
    println!(
        "    -d '{{\"model\": \"{MODEL_SERVICE}\", \"prompt\": \"len=20\", \"stream\": true}}'\n"
    );
    println!(
        "  hornbeamctl --server http://{} --key {OPERATOR_KEY} status\n",
        daemon.operator_address
    );
    println!("Settings and logs: {}", cluster.dir().display());
    println!("Press Ctrl-C to stop all processes.");
}
