//! The real daemon as processes under faults from outside.

use std::path::{Path, PathBuf};
use std::time::Duration;

use fescuelock_soak::deployment::Size;
use fescuelock_soak::nodes::Process;
use fescuelock_soak::soak::{SoakOptions, run};
use tokio::time::sleep;

const DAEMON: &str = env!("CARGO_BIN_EXE_fescuelockd");

/// Seeds that found something, with the cause. They stay to run.
const KEPT_SEEDS: [(u64, &str); 1] =
    [(1, "SIGTERM reached a process that had not begun to handle signals: planned stops now wait")];

/// Runs a seed, shorter than by hand.
async fn soak(seed: u64) {
    let options = SoakOptions {
        daemon: PathBuf::from(DAEMON),
        seed,
        size: Size { nodes: 2, upstreams: 3 },
        planned_ms: 5_000,
        faults_ms: 6_000,
    };
    let report = run(&options).await.expect("the deployment starts");
    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(report.served > 0, "{report:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_soak() {
    soak(100).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_seeds() {
    for (seed, _cause) in KEPT_SEEDS {
        soak(seed).await;
    }
}

/// A signal to stop that comes as soon as a node listens ends it as any other.
#[tokio::test]
async fn early_stop() {
    let folder = std::env::temp_dir().join(format!("fescuelock-early-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let ip = "127.99.0.1";
    let settings = format!(
        "nodeName=early\nip={ip}\nzone=zone-a\nlistenAddrs.frontend={ip}:17200\n\
         listenAddrs.ready={ip}:17201\nportRange=17300,17315\nplatform.address={ip}:17203\n"
    );
    let mut node = Process::new("early", ip, Path::new(DAEMON), &folder, &settings).unwrap();
    for _ in 0..5 {
        node.start(17_202).unwrap();
        while tokio::net::TcpStream::connect((ip, 17_200)).await.is_err() {
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(node.stop().await.code, Some(0));
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
